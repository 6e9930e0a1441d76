// Package dispatch is a reverse proxy with a load balancer: the routing table, the choice of a backend server, retries, and the HTTP server for callers.
//
// A caller's request passes through
//
//	Proxy (fasthttp) -> Table.Match -> Core.Step (choice, retries, hedges) -> link.Caller -> the daemon on the backend server's VM
//
// and its answer is streamed back along the same path.
//
// Core is the state machine without I/O. It holds a callState for each call in flight and a server for each member, which is a daemon with its backend server. Proxy does the I/O. It holds a call for each request and an attempt for each time that the request is sent to a member.
//
// Terms: A slot is a backend server's capacity to run one call; the server's backlog is the time until a further call gets a slot. A call's objective is the latency within which an answer is wanted; its deadline is the time by which it ends. A payment is an operation on a route marked as deposit; all calls with the same Idempotency-Key stand for the same payment, which runs at most once. The parent of a call is the call that the sending backend server was running at the time.
package dispatch
