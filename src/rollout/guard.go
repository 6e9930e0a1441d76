package rollout

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// guard holds the Gate and the Tally of the own backend server for concurrent use.
type guard struct {
	active atomic.Bool // the service is or was under an order; while false, calls take no lock

	mu      sync.Mutex
	gate    Gate
	known   bool // the version of the backend server is known
	tally   *Tally
	order   uint64 // of tally
	routing Routing

	coldUntil time.Time                // the backend server is slow until then
	timeouts  map[string]time.Duration // longest timeout of a call, by route
}

const (
	maxTimeoutRoutes  = 64
	routeTimeoutShare = 0.9 // of the longest timeout seen on a route, from which on a timeout counts as the route's own
)

func (g *guard) update(r Routing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Update(r)
	g.routing = r
	if r.Order != g.order {
		g.order, g.tally = r.Order, &Tally{}
	}
	g.active.Store(r.Order != 0)
}

func (g *guard) stop(order uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Stop(order)
}

func (g *guard) setBackend(version string, coldUntil time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Version, g.known, g.coldUntil = version, true, coldUntil
}

// isRouteTimeout reports whether a timeout is the longest that the route's calls have, and not a
// caller's shorter deadline.
func (g *guard) isRouteTimeout(route string, timeout time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timeouts == nil || len(g.timeouts) > maxTimeoutRoutes {
		g.timeouts = map[string]time.Duration{}
	}
	longest := max(g.timeouts[route], timeout)
	g.timeouts[route] = longest
	return float64(timeout) >= routeTimeoutShare*float64(longest)
}

func (g *guard) permit(reportSent time.Time, order uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Permit(reportSent, order)
}

// admit decides on a call. While the version of the backend server is unknown, as before its first
// heartbeat, it may be the new one, and no call is admitted before the order is settled.
func (g *guard) admit(now time.Time, order uint64) Admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known && g.routing.IsActive() {
		return AdmissionNoPermit
	}
	return g.gate.Admit(now, order)
}

func (g *guard) add(now time.Time, s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tally != nil && g.routing.IsActive() {
		s.Cold = now.Add(-s.Duration).Before(g.coldUntil)
		g.tally.Add(now, s)
	}
}

// fillReport adds the state of the gate and the counts of the tally to a report.
func (g *guard) fillReport(r *wire.RolloutReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Version, r.Draining = g.gate.Version, g.gate.IsDraining()
	if g.tally != nil && g.order == r.Order {
		r.Routes = g.tally.Routes()
	}
}

// SetBackend tells the version of the own backend server and the end of its cold start, from its
// heartbeat.
func (n *Node) SetBackend(version string, coldUntil time.Time) {
	n.guard.setBackend(version, coldUntil)
}

// Version returns the version of the own backend server, empty if it is unknown.
func (n *Node) Version() string { return n.guard.version() }

// IsRouteTimeout reports whether a timeout is that of a route, and not a caller's shorter deadline.
func (n *Node) IsRouteTimeout(route string, timeout time.Duration) bool {
	return n.Guards() && n.guard.isRouteTimeout(route, timeout)
}

// Guards reports whether the service of the own backend server is under an order, so that Admit and
// Add are to be called.
func (n *Node) Guards() bool { return n != nil && n.guard.active.Load() }

// Admit decides on a call whose head names an order, 0 for none.
func (n *Node) Admit(order uint64) Admission {
	if !n.Guards() {
		return AdmissionRun
	}
	a := n.guard.admit(n.Now(), order)
	if a != AdmissionRun {
		n.counters.refused(a)
	}
	return a
}

// Add adds the run of a call at the own backend server to the evidence; it sets the sample's Cold.
func (n *Node) Add(s Sample) {
	if !n.Guards() {
		return
	}
	n.guard.add(n.Now(), s)
	n.counters.countRun(n.Service, n.guard.version(), s.Outcome)
}

func (g *guard) version() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Version
}

// applyReply takes in the answer of a coordinator to a report.
func (n *Node) applyReply(service string, r wire.RolloutReply, sentAt time.Time) {
	if r.Order == 0 {
		return
	}
	if r.Stopped {
		n.handleStop(service, r.Order, "told by a coordinator")
	} else if r.Permit {
		n.guard.permit(sentAt, r.Order)
	}
}
