package rollout

import (
	"cmp"
	"math"
	"slices"
)

const minCanaryServers = 3 // one or two can be gray servers of a good version

// CanarySet holds the new servers to which requests go before all are shifted.
type CanarySet struct{ ids map[uint64]bool }

// NewCanarySet returns the canary set of an order in StageCanary: the first ready servers of the
// target version in an order by hash that spreads them over failure domains, as many as carry the
// requests that Limiter allows at the load per slot of the other versions' ready servers, and at
// least three. All members that know the same servers choose the same set.
func NewCanarySet(order uint64, targetVersion string, exposureShare float64, servers []Server) CanarySet {
	return newCanarySet(order, targetVersion, senderShare*exposureShare, servers)
}

// CanarySet returns the new servers to which requests go under this routing. In StageShift the set
// carries Share, again at the old servers' load per slot: spread over all new servers, a small share
// would not show a failure that occurs only under load.
func (r Routing) CanarySet(exposureShare float64, servers []Server) CanarySet {
	switch {
	case r.Stage == StageCanary:
		return NewCanarySet(r.Order, r.TargetVersion, exposureShare, servers)
	case r.Stage == StageShift && r.Share < 1:
		return newCanarySet(r.Order, r.TargetVersion, r.Share, servers)
	}
	return newCanarySet(r.Order, r.TargetVersion, math.Inf(1), servers)
}

func newCanarySet(order uint64, targetVersion string, share float64, servers []Server) CanarySet {
	oldSlots := 0
	var ready []Server
	for _, srv := range servers {
		switch {
		case !srv.Ready:
		case srv.Version == targetVersion:
			ready = append(ready, srv)
		default:
			oldSlots += srv.Slots
		}
	}
	slices.SortFunc(ready, func(a, b Server) int {
		return cmp.Or(cmp.Compare(rendezvous(order, a.ID), rendezvous(order, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	candidates := make([]Candidate, 0, len(ready))
	slots := map[uint64]int{}
	for _, srv := range ready {
		candidates = append(candidates, Candidate{ID: srv.ID, Domain: srv.Domain})
		slots[srv.ID] = srv.Slots
	}
	s := CanarySet{ids: map[uint64]bool{}}
	wanted, taken := share*float64(oldSlots), 0.0
	if math.IsInf(share, 1) {
		wanted = share
	}
	for _, id := range spread(candidates, len(candidates)) {
		// The set ends where one more server would carry more than what is left to half of its slots.
		if len(s.ids) >= minCanaryServers && taken+float64(slots[id])/2 > wanted {
			break
		}
		s.ids[id] = true
		taken += float64(slots[id])
	}
	return s
}

// Contains reports whether a server is in the set.
func (s CanarySet) Contains(server uint64) bool { return s.ids[server] }

// Size returns the number of servers in the set.
func (s CanarySet) Size() int { return len(s.ids) }
