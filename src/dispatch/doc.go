// Package dispatch is a reverse proxy with a load balancer: the routing table, the choice of a backend server, retries, and the HTTP server for callers.
//
// A caller's request passes through
//
//	Proxy (fasthttp) -> Table.Match -> Core.Step (choice, retries, hedges) -> link.Caller -> the daemon on the backend server's VM
//
// and its answer is streamed back along the same path.
package dispatch
