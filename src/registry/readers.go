package registry

import (
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

// followersMax is how many daemons follow the store through one reader; a daemon serves 64 messages at once.
const followersMax = 32

// readerFor returns the member of a failure domain through which a daemon follows the store; ok is false for one that reads the store itself.
//
// The daemons with the lowest keys read it, one for each followersMax in the failure domain.
func readerFor(members []wire.Member, self, domain string, keys Keys) (wire.Member, bool) {
	var near []wire.Member
	for _, m := range members {
		if m.Domain == domain && m.State == wire.StateAlive {
			near = append(near, m)
		}
	}
	slices.SortFunc(near, func(a, b wire.Member) int { return strings.Compare(keys.member(a.Addr), keys.member(b.Addr)) })
	readers := near[:min(len(near), 1+len(near)/followersMax)]
	if len(readers) == 0 || slices.ContainsFunc(readers, func(m wire.Member) bool { return keys.member(m.Addr) == self }) {
		return wire.Member{}, false
	}
	return readers[xxh3.HashString(self)%uint64(len(readers))], true
}
