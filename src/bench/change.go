package bench

import (
	"slices"
	"time"
)

// change is one accepted edit.
type change struct {
	version  uint64
	service  string
	data     []byte
	accepted time.Time
}

// outage is a time in which some daemons could not learn of a change, whatever the system did.
type outage struct {
	from, to time.Time
	affects  func(n *Node) bool
}

// lag returns how long after a change a daemon served it, and false when it never did.
//
// It counts from the acceptance, the first state that the daemon served, or the end of an outage, whichever came last.
func (l *life) lag(c change, outages []outage) (time.Duration, bool) {
	i := slices.IndexFunc(l.steps, func(s step) bool { return s.version >= c.version })
	if i < 0 {
		return 0, false
	}
	reached := l.steps[i].at
	base := later(c.accepted, l.steps[0].at)
	for _, o := range outages {
		if o.affects(l.node) && o.from.Before(reached) && !o.to.After(reached) {
			base = later(base, o.to)
		}
	}
	return max(0, reached.Sub(base)), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// partial counts the daemons that served a version with other documents than were accepted.
func (o *observer) partial(base map[string][]byte, from uint64, changes []change) int {
	slices.SortFunc(changes, func(a, b change) int { return int(int64(a.version) - int64(b.version)) })
	n := 0
	expect := func(version uint64) {
		want := sumDocuments(base)
		for sum, seen := range o.sums[version] {
			if sum != want {
				n += seen
			}
		}
	}
	expect(from)
	for i, c := range changes {
		if c.version != from+uint64(i)+1 {
			break // a version of unknown content: the later ones can't be checked
		}
		base[c.service] = c.data
		expect(c.version)
	}
	return n
}
