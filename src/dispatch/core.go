package dispatch

import (
	"math/rand/v2"
	"time"
)

// Core decides where calls go; it does no I/O and is not safe for use from several goroutines.
type Core struct {
	Settings Settings // with defaults
	Rand     *rand.Rand

	version        uint64
	self           uint64
	domain, region string
	members        map[uint64]*server
	services       map[string]*service
	calls          map[uint64]*callState
	perRoute       map[routeKey]int     // calls in flight
	turns          map[routeKey]float64 // of routes whose calls are split
}

// routeKey names a route across services.
type routeKey struct{ service, route string }

// Step decides on one event; all actions concern the event's own call.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.calls == nil {
		c.calls = map[uint64]*callState{}
		c.perRoute = map[routeKey]int{}
	}
	switch e := e.(type) {
	case TableChanged:
		c.changeTable(now, e)
	case CallArrived:
		return c.arrive(now, e)
	case AttemptAnswered:
		return c.answered(now, e)
	case AttemptRefused:
		return c.refused(now, e)
	case AttemptEnded:
		c.ended(now, e)
	case TimerFired:
		return c.timer(now, e)
	case CallerGone:
		return c.callerGone(now, e)
	}
	return nil
}

// changeTable takes over the members of a new table; what is known of those that stay is kept.
func (c *Core) changeTable(now time.Time, e TableChanged) {
	old := c.members
	if e.Version != c.version || c.turns == nil {
		c.version, c.turns = e.Version, map[routeKey]float64{}
	}
	c.self, c.domain, c.region = e.Self, e.Domain, e.Region
	c.members = make(map[uint64]*server, len(e.Members))
	services := map[string]*service{}
	for _, m := range e.Members {
		s, ok := old[m.ID]
		if !ok {
			s = &server{started: now.Add(-m.Age)}
		}
		if !ok || s.State != m.State || s.Ready != m.Ready {
			s.gone = false
		}
		s.Member = m
		c.members[m.ID] = s
		c.serviceOf(services, m.Service).add(s)
	}
	c.services = services
	c.shareReserve(len(e.Members))
	for _, svc := range services {
		svc.limitAside(now, c.Settings.MaxEjectedShare)
	}
}

// keptShare is the part of a shared reserve that is left to calls that may run only once: their callers cannot repeat them blindly.
const keptShare = 0.4

// shareReserve divides the retries that all daemons may have at once.
func (c *Core) shareReserve(daemons int) {
	if c.Settings.SharedReserve <= 0 || daemons == 0 {
		return
	}
	for _, s := range c.services {
		s.budget.reserve = c.Settings.SharedReserve / float64(daemons)
		s.budget.tokens = min(s.budget.tokens, s.budget.reserve)
		s.budget.kept = s.budget.reserve * keptShare
	}
}

func (c *Core) serviceOf(services map[string]*service, name string) *service {
	if s, ok := services[name]; ok {
		return s
	}
	s, ok := c.services[name]
	if !ok {
		s = &service{budget: newBudget(c.Settings)}
	}
	s.servers = nil
	services[name] = s
	return s
}
