// Package dispatch routes callers' requests: the routing table, the choice of a backend server, retries, and the HTTP proxy that callers speak to.
//
// A caller's request passes through
//
//	Proxy (fasthttp) -> Table.Match -> Core.Step (choice, retries, hedges) -> link.Caller -> the daemon beside the backend server
//
// and its answer is streamed back the same way.
package dispatch
