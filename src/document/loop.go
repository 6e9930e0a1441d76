package document

import "slices"

// fallback is the step from a target to the service that stands in for it.
type fallback struct {
	to       string
	document string // whose route says so
	route    int
}

// loop is a circle of services with the step that closes it.
type loop struct {
	path []string
	edge fallback
}

// loopSearch finds circles by depth-first search.
type loopSearch struct {
	next  map[string][]fallback
	state map[string]int
	path  []string
	loops []loop
}

const (
	visiting = 1
	visited  = 2
)

func (s *loopSearch) visit(name string) {
	if s.state[name] != 0 {
		return
	}
	s.state[name] = visiting
	s.path = append(s.path, name)
	for _, e := range s.next[name] {
		if s.state[e.to] == visiting {
			from := slices.Index(s.path, e.to)
			s.loops = append(s.loops, loop{path: append(slices.Clone(s.path[from:]), e.to), edge: e})
			continue
		}
		s.visit(e.to)
	}
	s.path = s.path[:len(s.path)-1]
	s.state[name] = visited
}
