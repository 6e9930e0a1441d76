package dispatch

// Explanation describes how a request would be dispatched now.
type Explanation struct {
	Version    uint64           `json:"version"`
	Service    string           `json:"service,omitempty"`
	Route      string           `json:"route,omitempty"`
	Idempotent bool             `json:"idempotent"`
	Choice     uint64           `json:"choice,omitempty,string"` // member ID, 0 for none
	Reason     string           `json:"reason"`                  // ChoiceReason of the choice, or no_server, no_route or not_ready
	Candidates []CandidateScore `json:"candidates"`
}

// CandidateScore is a member with the values that the choice compares.
type CandidateScore struct {
	Member   uint64  `json:"member,string"`
	Service  string  `json:"service"`
	Domain   string  `json:"domain"`
	Usable   bool    `json:"usable"` // there is no obstacle; unlike server.isUsable, this excludes ejected, unreachable and saturated members
	Obstacle string  `json:"why"`    // why calls are not sent to the member, empty if it is usable
	Score    float64 `json:"score"`  // lower is better
	InFlight int     `json:"in_flight"`
	Free     float64 `json:"free"`  // slots, estimated
	Share    float64 `json:"share"` // of its full share of calls, below 1 during slow start after a start or an ejection
}

// Explain returns the route that a request takes and the members of its services with their scores; it sends nothing. It may be called concurrently with Run.
//
// Choice is the usable member with the lowest score in the nearest locality tier. A call may be sent to another one, because the choice is partly random and depends on the call's body and objective. Choice also disregards the weights of targets, the precedence of targets over the fallback, and locality any.
func (p *Proxy) Explain(host, path, method string) Explanation {
	p.init()
	t := p.currentTable()
	if t == nil {
		return Explanation{Reason: "not_ready"}
	}
	m, ok := t.Match(host, path, method)
	if !ok {
		return Explanation{Version: t.Version, Reason: "no_route"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.core.explain(p.Now(), m.policy(method))
	out.Version, out.Service, out.Route, out.Idempotent = t.Version, m.Service, m.Route.Name, m.Route.IsIdempotent(method)
	return out
}
