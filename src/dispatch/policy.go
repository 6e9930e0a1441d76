package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/document"
)

// Policy sets how the calls of one route are dispatched.
type Policy struct {
	Service     string            `json:"service"` // service whose document holds the route
	Route       string            `json:"route"`
	Targets     []Target          `json:"targets"`
	Fallback    string            `json:"fallback,omitempty"` // service that receives calls while no target has a usable server, and retries of calls that have no server left to try in their own service; empty for none
	Locality    document.Locality `json:"locality,omitempty"`
	Idempotent  bool              `json:"idempotent,omitempty"`
	Attempts    int               `json:"attempts,omitempty"`       // maximum number of attempts that may run, including the first; at most 5, 0 for the default of 2; attempts proven not to have run do not count
	Timeout     time.Duration     `json:"timeout_ns,omitempty"`     // of an attempt, 0 for the default
	HedgeAfter  time.Duration     `json:"hedge_after_ns,omitempty"` // 0 for no hedge
	MaxInFlight int               `json:"max_in_flight,omitempty"`  // at one daemon, 0 for no limit
}

// Target is a service with its share of a route's calls.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

func newPolicy(r *tableRoute, idempotent bool) *Policy {
	p := &Policy{
		Service: r.service, Route: r.route.Name, Fallback: r.fallback,
		Locality: r.route.Locality, Idempotent: idempotent, Attempts: r.route.Retry.Attempts,
		Timeout: r.route.Timeout.Std(), MaxInFlight: r.route.MaxInFlight,
	}
	if idempotent {
		p.HedgeAfter = r.route.Hedge.After.Std()
	}
	for _, t := range r.targets {
		p.Targets = append(p.Targets, Target{Service: t.Service, Weight: t.Weight})
	}
	return p
}
