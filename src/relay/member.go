package relay

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// Member is a daemon in the core's list of members.
type Member struct {
	ID      uint64 `json:"id"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

// rankOf returns the position, from 0, of a member in the order in which the members of its failure domain serve as readers; -1 if it is leaving or not listed.
func rankOf(self uint64, domain string, members []Member) int {
	var ids []uint64
	for _, m := range members {
		if m.Domain == domain && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	slices.SortFunc(ids, func(a, b uint64) int { return cmp.Compare(rendezvousHash(b, domain), rendezvousHash(a, domain)) })
	return slices.Index(ids, self)
}

// rendezvousHash returns the weight of a member in the rendezvous hashing that selects the readers of a failure domain.
func rendezvousHash(id uint64, domain string) uint64 {
	return xxh3.Hash(binary.BigEndian.AppendUint64([]byte(domain), id))
}

// partition divides a list of members into at most fanout parts of about equal length, one for each child in the push tree.
func partition(ids []uint64, fanout int) [][]uint64 {
	n := min(fanout, len(ids))
	var parts [][]uint64
	for i := range n {
		parts = append(parts, ids[i*len(ids)/n:(i+1)*len(ids)/n])
	}
	return parts
}
