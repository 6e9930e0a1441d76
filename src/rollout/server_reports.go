package rollout

import "github.com/yuccaport/yuccaport/src/wire"

// serverReports is what a Judge knows of one server.
type serverReports struct {
	version string
	routes  map[string]routeTally  // at the last report
	period  map[string]*routeTally // counted since the current period began
}

// add takes in a report. A report that is behind an earlier one changes nothing.
func (s *serverReports) add(r wire.RolloutReport) {
	deltas := map[string]routeTally{}
	for _, route := range r.Routes {
		delta, ok := decodeRouteTally(route).minus(s.routes[route.Route])
		if !ok {
			return
		}
		deltas[route.Route] = delta
	}
	for _, route := range r.Routes {
		s.routes[route.Route] = decodeRouteTally(route)
		if s.period[route.Route] == nil {
			s.period[route.Route] = &routeTally{}
		}
		delta := deltas[route.Route]
		s.period[route.Route].add(&delta)
	}
}
