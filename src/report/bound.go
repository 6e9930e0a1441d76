package report

import (
	"cmp"
	"maps"
	"slices"
)

// Bound is what a scheduler that knows everything beforehand could have served at a service at
// most, with the slots of each window.
//
// It assumes that each call asked for in a window may run in it for the mean time of the good runs
// of its route, in any order and at any server whose agent logged while it took calls, without
// waits, faults, or inner calls that fail. It is loose for that, and not below what was reached.
type Bound struct {
	Service  string  `json:"service"`
	Asked    int     `json:"asked"`
	Reached  int     `json:"reached"`  // good answers
	Possible int     `json:"possible"` // of all routes together
	Work     float64 `json:"work"`     // slot-seconds asked for
	Capacity float64 `json:"capacity"` // slot-seconds
}

// routeUse is what a window saw of one route.
type routeUse struct {
	asked, good int
	work        float64 // slot-seconds of the good runs
}

// bounds returns the bound of each service, by name, and sets that of each route.
func (b *Builder) bounds(routes []Route) []Bound {
	means := b.meanWork()
	possible := map[string]int{} // by route, if it alone were served
	byService := map[string]*Bound{}
	for _, w := range b.windows {
		capacity := map[string]float64{}
		for agent := range w.serving {
			s := b.server(agent)
			capacity[s.Service] += float64(s.Slots) * b.Window.Seconds()
		}
		asked := map[string][]string{} // routes by service
		for route := range w.routes {
			if service := b.services[route]; service != "" {
				asked[service] = append(asked[service], route)
			}
		}
		for service, names := range asked {
			if byService[service] == nil {
				byService[service] = &Bound{Service: service}
			}
			b.addWindowBound(byService[service], w, names, capacity[service], means, possible)
		}
	}
	for i := range routes {
		routes[i].Possible = possible[routes[i].Name]
	}
	var out []Bound
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		out = append(out, *byService[service])
	}
	return out
}

// addWindowBound adds what a window allows the routes of a service: the ones that need least first.
func (b *Builder) addWindowBound(out *Bound, w *window, names []string, capacity float64, means map[string]float64, possible map[string]int) {
	out.Capacity += capacity
	slices.SortFunc(names, func(x, y string) int { return cmp.Or(cmp.Compare(means[x], means[y]), cmp.Compare(x, y)) })
	left, all, reached := capacity, 0, 0
	for _, name := range names {
		u := w.routes[name]
		alone := max(u.good, fitting(u.asked, means[name], capacity))
		possible[name] += alone
		n := fitting(u.asked, means[name], left)
		left -= float64(n) * means[name]
		all += n
		reached += u.good
		out.Asked += u.asked
		out.Work += float64(u.asked) * means[name]
	}
	out.Reached += reached
	out.Possible += max(all, reached)
}

// fitting returns how many of the calls fit into so many slot-seconds.
func fitting(calls int, work, capacity float64) int {
	if work <= 0 {
		return calls
	}
	return min(calls, int(capacity/work))
}

// meanWork returns the mean slot-seconds of a good run by route.
func (b *Builder) meanWork() map[string]float64 {
	sums := map[string]routeUse{}
	for _, w := range b.windows {
		for route, u := range w.routes {
			sum := sums[route]
			sum.good += u.good
			sum.work += u.work
			sums[route] = sum
		}
	}
	out := map[string]float64{}
	for route, sum := range sums {
		if sum.good > 0 {
			out[route] = sum.work / float64(sum.good)
		}
	}
	return out
}
