package document

import "slices"

// fallbackEdge leads from a target service to its fallback service.
type fallbackEdge struct {
	to    string
	owner string // service whose document defines the fallback
	route int    // index in that document
}

// fallbackLoop is a loop of services, with the first one also last, and the edge that closes it.
type fallbackLoop struct {
	services []string
	edge     fallbackEdge
}

// loopFinder finds loops of fallbacks by depth-first search: at least one if there are any, though not necessarily all.
type loopFinder struct {
	edges    map[string][]fallbackEdge // by target service
	state    map[string]int            // by service: visiting, visited or 0 for neither
	services []string                  // services being visited
	loops    []fallbackLoop
}

const (
	visiting = 1
	visited  = 2
)

func (f *loopFinder) visit(name string) {
	if f.state[name] != 0 {
		return
	}
	f.state[name] = visiting
	f.services = append(f.services, name)
	for _, e := range f.edges[name] {
		if f.state[e.to] == visiting {
			start := slices.Index(f.services, e.to)
			f.loops = append(f.loops, fallbackLoop{services: append(slices.Clone(f.services[start:]), e.to), edge: e})
			continue
		}
		f.visit(e.to)
	}
	f.services = f.services[:len(f.services)-1]
	f.state[name] = visited
}
