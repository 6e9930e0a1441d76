package dispatch

import (
	"math/rand/v2"
	"time"
)

// Core decides where calls are sent; it does no I/O and is not safe for concurrent use.
type Core struct {
	Settings Settings   // as returned by Settings.WithDefaults
	Rand     *rand.Rand // required; traces record its seed

	tableVersion    uint64
	self            uint64
	domain, region  string
	members         map[uint64]*server
	services        map[string]*service
	calls           map[uint64]*callState
	inFlightByRoute map[routeKey]int // calls in flight of the routes that have any
	answerSizes     answerSizes
	answerTimes     answerTimes
	endBy           time.Time // of the calls in flight when this daemon stops, zero before
	patience        callerPatience
	latencies       []float64 // of expectedLatencies
	sharedVMs       bool      // a backend server has reported the speed of its VM
	leaving         leavingServers
	departed        []*server                  // with marks or trials that have not ended
	startedAt       time.Time                  // first event
	rollouts        map[string]*serviceRollout // services under an order
	splitPositions  map[routeKey]float64       // position of a route's last call in the split by weight, from 0 to 1; for routes with several targets
}

// routeKey identifies a route: route names are unique only within a service.
type routeKey struct{ service, route string }

// Step processes one event that occurred at now and returns the resulting actions, in order; all concern the event's own call.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.calls == nil {
		c.startedAt = now
		c.calls = map[uint64]*callState{}
		c.inFlightByRoute = map[routeKey]int{}
	}
	c.expireDepartures(now)
	switch e := e.(type) {
	case TableChanged:
		c.tableChanged(now, e)
	case RoutingChanged:
		c.routingChanged(e)
	case CallArrived:
		return c.callArrived(now, e)
	case AttemptAnswered:
		return c.attemptAnswered(now, e)
	case AttemptRefused:
		return c.attemptRefused(now, e)
	case AttemptDoubted:
		return c.attemptDoubted(now, e)
	case StopBegan:
		c.endBy = now.Add(e.EndWithin)
	case AttemptEnded:
		c.attemptEnded(now, e)
	case TimerFired:
		return c.timerFired(now, e)
	case CallerGone:
		return c.callerGone(now, e)
	}
	return nil
}

// tableChanged replaces the members by those of a new table; members that remain keep their state.
func (c *Core) tableChanged(now time.Time, e TableChanged) {
	old := c.members
	if e.Version != c.tableVersion || c.splitPositions == nil {
		c.tableVersion, c.splitPositions = e.Version, map[routeKey]float64{}
	}
	c.self, c.domain, c.region = e.Self, e.Domain, e.Region
	c.members = make(map[uint64]*server, len(e.Members))
	services := map[string]*service{}
	for _, m := range e.Members {
		srv, ok := old[m.ID]
		if !ok {
			srv = &server{startedAt: now.Add(-m.Age)}
		}
		if !ok || srv.State != m.State || srv.Ready != m.Ready || m.StartedAt.After(srv.StartedAt) {
			srv.departure.end()
		}
		srv.Member, srv.isNew = m, false
		srv.leaving = c.leaving.contains(m)
		c.members[m.ID] = srv
		c.ensureService(services, m.Service).addServer(srv)
	}
	c.services = services
	for name := range c.rollouts {
		c.applyRollout(name)
	}
	c.divideSharedBurst(len(e.Members))
	for _, svc := range services {
		svc.limitEjected(now, c.Settings.MaxEjectedShare)
	}
}

// nonIdempotentShare is the part of a shared retry budget that is kept for calls that may run only once, because their callers cannot safely repeat them.
const nonIdempotentShare = 0.4

// divideSharedBurst sets the capacity of each service's retry budget to this daemon's part of the burst that all daemons share.
func (c *Core) divideSharedBurst(daemons int) {
	if c.Settings.SharedRetryBurst <= 0 || daemons == 0 {
		return
	}
	for _, svc := range c.services {
		svc.budget.capacity = c.Settings.SharedRetryBurst / float64(daemons)
		svc.budget.tokens = min(svc.budget.tokens, svc.budget.capacity)
		svc.budget.nonIdempotentReserve = svc.budget.capacity * nonIdempotentShare
	}
}

// ensureService returns the service with the given name in a new table. A missing one is added without servers; if the previous table has it, it keeps its retry budget and medians.
func (c *Core) ensureService(services map[string]*service, name string) *service {
	if svc, ok := services[name]; ok {
		return svc
	}
	svc, ok := c.services[name]
	if !ok {
		svc = &service{budget: newRetryBudget(c.Settings)}
	}
	svc.servers = nil
	services[name] = svc
	return svc
}
