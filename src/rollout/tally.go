package rollout

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Tally counts the runs of one backend server under one order, by route. Make a new one for each
// order. Its counts go up only, so a report that is lost or repeated does no harm.
type Tally struct {
	routes map[string]*wire.RolloutRoute
}

// Add counts a run that ended at the given time.
func (t *Tally) Add(now time.Time, s Sample) {
	if t.routes == nil {
		t.routes = map[string]*wire.RolloutRoute{}
	}
	r := t.routes[s.Route]
	if r == nil {
		r = &wire.RolloutRoute{Route: s.Route, Answers: make([]uint32, 2), Failures: make([]uint32, 2)}
		t.routes[s.Route] = r
	}
	switch s.Outcome {
	case OutcomeAnswered:
		r.Answers[0]++
	case OutcomeFailed, OutcomeHung, OutcomeCrashed:
		r.Answers[0]++
		r.Failures[0]++
	}
}

// Routes returns the counts for wire.RolloutReport, ordered by route.
func (t *Tally) Routes() []wire.RolloutRoute {
	var out []wire.RolloutRoute
	for _, r := range t.routes {
		out = append(out, *r)
	}
	return out
}
