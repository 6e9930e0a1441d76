package registry

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// agentsPerReader is the number that the average number of agents per reader stays below. It leaves room for uneven hashing below the 64 messages that an agent serves at once.
	agentsPerReader = 32
	// slowLinkShare is the share of the fastest link's speed below which a link is slow. The store sends each version in full, which takes too long over a slow link when versions follow one another quickly.
	slowLinkShare = 0.5
)

// selectReader returns the reader that the agent with key self watches, and false if that agent watches the store itself.
//
// In each failure domain one agent, and one more per agentsPerReader, is a reader: those with the fastest links, and among equal links those with the lowest keys. If the failure domain has only slow links, its readers are chosen in the same way among the members of all domains; these need not watch the store themselves. Members for which skip returns true are ignored, except for self.
func selectReader(members []wire.Member, self, domain string, keys Keys, skip func(wire.Member) bool) (wire.Member, bool) {
	var candidates, all []wire.Member
	for _, m := range members {
		if m.State != wire.StateAlive || keys.memberKey(m.Addr) != self && skip(m) {
			continue
		}
		all = append(all, m)
		if m.Domain == domain {
			candidates = append(candidates, m)
		}
	}
	if maxLinkMbps(candidates) < slowLinkShare*maxLinkMbps(all) {
		candidates = all
	}
	slices.SortFunc(candidates, func(a, b wire.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), strings.Compare(keys.memberKey(a.Addr), keys.memberKey(b.Addr)))
	})
	readers := candidates[:min(len(candidates), 1+len(candidates)/agentsPerReader)]
	if len(readers) == 0 || slices.ContainsFunc(readers, func(m wire.Member) bool { return keys.memberKey(m.Addr) == self }) {
		return wire.Member{}, false
	}
	return readers[xxh3.HashString(self)%uint64(len(readers))], true
}

// maxLinkMbps returns the speed of the fastest link of members.
func maxLinkMbps(members []wire.Member) float64 {
	speed := uint32(0)
	for _, m := range members {
		speed = max(speed, m.LinkMbps)
	}
	return float64(speed)
}
