package document

import "slices"

// fallbackEdge leads from a target service to its fallback service.
type fallbackEdge struct {
	to       string
	document string // service whose document defines the fallback
	route    int    // index in that document
}

// fallbackLoop is a loop of services, with the first one also last, and the edge that closes it.
type fallbackLoop struct {
	path []string
	edge fallbackEdge
}

// loopFinder finds loops of fallbacks by depth-first search.
type loopFinder struct {
	edges map[string][]fallbackEdge // by target service
	state map[string]int            // visiting, visited or 0 for neither
	path  []string                  // services being visited
	loops []fallbackLoop
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
	f.path = append(f.path, name)
	for _, e := range f.edges[name] {
		if f.state[e.to] == visiting {
			start := slices.Index(f.path, e.to)
			f.loops = append(f.loops, fallbackLoop{path: append(slices.Clone(f.path[start:]), e.to), edge: e})
			continue
		}
		f.visit(e.to)
	}
	f.path = f.path[:len(f.path)-1]
	f.state[name] = visited
}
