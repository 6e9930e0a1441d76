package relay

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"
)

// Member is what the core needs to know of a daemon.
type Member struct {
	ID      uint64 `json:"id"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving,omitempty"`
}

// rankOf returns how many members of a failure domain come before one in the order in which they serve as readers; -1 when it does not serve.
func rankOf(self uint64, domain string, members []Member) int {
	var ids []uint64
	for _, m := range members {
		if m.Domain == domain && !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	slices.SortFunc(ids, func(a, b uint64) int { return cmp.Compare(weight(b, domain), weight(a, domain)) })
	return slices.Index(ids, self)
}

// weight is the rendezvous hash of a member for the duty of a failure domain.
func weight(id uint64, domain string) uint64 {
	return xxh3.Hash(binary.BigEndian.AppendUint64([]byte(domain), id))
}

// split deals a list of members to at most fanout children, each with the part of the list that it serves.
func split(ids []uint64, fanout int) [][]uint64 {
	n := min(fanout, len(ids))
	var parts [][]uint64
	for i := range n {
		parts = append(parts, ids[i*len(ids)/n:(i+1)*len(ids)/n])
	}
	return parts
}
