package registry

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// followersMax is how many daemons follow the store through one reader; a daemon serves 64 messages at once.
	followersMax = 32
	// thinPart of the widest link is thin: a store tells each version whole, which such a link takes too long to carry in a series of them.
	thinPart = 0.5
)

// readerFor returns the member through which a daemon follows the store; ok is false for one that reads the store itself.
//
// The daemons with the widest links in the failure domain read it, among equal ones those with the lowest keys, one for each followersMax. A failure domain with thin links only follows those of others. Members that skip skips do not count.
func readerFor(members []wire.Member, self, domain string, keys Keys, skip func(wire.Member) bool) (wire.Member, bool) {
	var near, all []wire.Member
	for _, m := range members {
		if m.State != wire.StateAlive || keys.member(m.Addr) != self && skip(m) {
			continue
		}
		all = append(all, m)
		if m.Domain == domain {
			near = append(near, m)
		}
	}
	if widest(near) < thinPart*widest(all) {
		near = all
	}
	slices.SortFunc(near, func(a, b wire.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), strings.Compare(keys.member(a.Addr), keys.member(b.Addr)))
	})
	readers := near[:min(len(near), 1+len(near)/followersMax)]
	if len(readers) == 0 || slices.ContainsFunc(readers, func(m wire.Member) bool { return keys.member(m.Addr) == self }) {
		return wire.Member{}, false
	}
	return readers[xxh3.HashString(self)%uint64(len(readers))], true
}

func widest(members []wire.Member) float64 {
	most := uint32(0)
	for _, m := range members {
		most = max(most, m.LinkMbps)
	}
	return float64(most)
}
