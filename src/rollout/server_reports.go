package rollout

import "github.com/yuccaport/yuccaport/src/wire"

// serverReports is what a Judge knows of one server.
type serverReports struct {
	version string
	routes  map[string]*reportedRoute
}

// reportedRoute is what a server has reported of one route.
type reportedRoute struct {
	latest routeTally // at the last report
	period routeTally // counted since the current period began
	isNew  bool       // period is not empty
}

// add takes in a report. A report that is behind an earlier one changes nothing.
func (s *serverReports) add(r wire.RolloutReport) {
	for _, route := range r.Routes {
		known := s.routes[route.Route]
		if known == nil {
			known = &reportedRoute{}
			s.routes[route.Route] = known
		}
		latest := decodeRouteTally(route)
		if latest == known.latest {
			continue
		}
		if delta, ok := latest.minus(known.latest); ok {
			known.latest, known.isNew = latest, true
			known.period.add(&delta)
		}
	}
}

// endPeriod starts the next period of a route.
func (s *serverReports) endPeriod(route string) {
	if known := s.routes[route]; known != nil && known.isNew {
		known.period, known.isNew = routeTally{}, false
	}
}

// total returns the number of answers counted.
func (t *routeTally) total() int { return int(t.answers[0] + t.answers[1]) }
