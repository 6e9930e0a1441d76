package rollout

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

const coordinatorCount = 3 // one acts, two stand by in other failure domains

// Candidate is a live member that may coordinate a rollout.
type Candidate struct {
	ID     uint64
	Domain string // failure domain
}

// Coordinators returns the coordinators of an order by rank: the first live members by a hash of
// the order and the member, in different failure domains where there are enough.
func Coordinators(order uint64, members []Candidate) []uint64 {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rendezvous(order, a.ID), rendezvous(order, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return spread(members, coordinatorCount)
}

// spread returns the IDs of the first n members, each time passing over the domains that have been
// used more often than others.
func spread(members []Candidate, n int) []uint64 {
	var out []uint64
	used := map[string]int{}
	for round := 0; len(out) < min(n, len(members)); round++ {
		for _, m := range members {
			if len(out) < n && used[m.Domain] == round && !slices.Contains(out, m.ID) {
				out, used[m.Domain] = append(out, m.ID), round+1
			}
		}
	}
	return out
}

func rendezvous(order, member uint64) uint64 {
	return xxh3.Hash(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, order), member))
}
