package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxTallyRoutes = 16                     // counted each by itself, which bounds the size of a report
	highLoad       = 0.5                    // share of slots in use from which on the load class is high
	crashWindow    = 500 * time.Millisecond // all runs that one crash ends are reported within it
)

// Tally counts the runs of one backend server under one order, by route. Make a new one for each
// order. Its counts go up only, so a report that is lost or repeated does no harm.
type Tally struct {
	routes  map[string]*routeTally
	crashes int       // of the server
	crashed time.Time // when the last one was first reported
}

// Add counts a run that ended at the given time.
//
// The first crash of the server counts as one failure however many calls it ended: the calls share
// one cause, which may be a single poison request. Each call that a further crash ends counts, since
// a server that crashes again and again is at fault itself. A cold server that answers too late is
// not counted, since it is expected to be slow.
func (t *Tally) Add(now time.Time, s Sample) {
	class := 0
	if s.Load >= highLoad {
		class = 1
	}
	switch s.Outcome {
	case OutcomeAnswered:
		r := t.route(s.Route)
		r.answers[class]++
		if !s.Cold {
			r.durations[class][durationClass(s.Duration)]++
		}
	case OutcomeHung:
		if s.Cold {
			return
		}
		t.fail(s.Route, class)
	case OutcomeCrashed:
		isFurther := t.crashes > 0 && now.Sub(t.crashed) < crashWindow
		if !isFurther {
			t.crashes, t.crashed = t.crashes+1, now
		}
		if t.crashes > 1 || !isFurther {
			t.fail(s.Route, class)
		}
	case OutcomeFailed:
		t.fail(s.Route, class)
	case OutcomeCut:
		if !s.Cold {
			t.route(s.Route).cut[durationClass(s.Duration)]++
		}
	}
}

func (t *Tally) fail(route string, class int) {
	r := t.route(route)
	r.answers[class]++
	r.failures[class]++
}

func (t *Tally) route(name string) *routeTally {
	if t.routes == nil {
		t.routes = map[string]*routeTally{}
	}
	if t.routes[name] == nil && len(t.routes) >= maxTallyRoutes {
		name = ""
	}
	r := t.routes[name]
	if r == nil {
		r = &routeTally{}
		t.routes[name] = r
	}
	return r
}

// Routes returns the counts for wire.RolloutReport, ordered by route.
func (t *Tally) Routes() []wire.RolloutRoute {
	var out []wire.RolloutRoute
	for _, name := range slices.Sorted(maps.Keys(t.routes)) {
		out = append(out, t.routes[name].encode(name))
	}
	return out
}
