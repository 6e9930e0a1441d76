package cut

// Ender is who ended a request.
type Ender uint8

// Those who end a request. Other agents are named as seen from this one.
const (
	Caller      Ender = iota + 1 // left, or took no bytes for too long
	Parent                       // the call within which the request was made
	ProxyDrain                   // the proxy, which waited for requests in flight, closed the connection or took no further request
	ProxyGrace                   // the proxy, at the end of its grace
	KillTimer                    // shortly before the end of stop_grace
	LinkGrace                    // this agent closed the link, at the end of the grace of links
	LinkClosed                   // the agent at the other end closed the link
	LinkLost                     // the link failed
	ServerAgent                  // the agent beside the server refused or cut it
	Backend                      // the backend server broke off, or its answer was not valid
	Timeout                      // of the route, or the caller's deadline
	Refusal                      // no server took it
	numEnders
)

var enderNames = map[Ender]string{
	Caller: "caller", Parent: "parent", ProxyDrain: "proxy_drain", ProxyGrace: "proxy_grace", KillTimer: "kill_timer",
	LinkGrace: "link_grace", LinkClosed: "link_closed", LinkLost: "link_lost", ServerAgent: "server_agent", Backend: "backend",
	Timeout: "timeout", Refusal: "refusal",
}

// String returns the name in logs and metrics.
func (e Ender) String() string { return enderNames[e] }
