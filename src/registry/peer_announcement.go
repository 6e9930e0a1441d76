package registry

import (
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// applyPeerAnnouncement adds or replaces the entry of a member that is known to be at its address
// now, until the store shows a newer entry under its key.
// An entry of the same member that came from the store stays, since it may be newer, and a member
// that has left does not come back: its message was late.
func (c *Core) applyPeerAnnouncement(now time.Time, m wire.Member) []Action {
	key := c.Keys.memberKey(m.Addr)
	isSelf := m.ID == c.ID || key == c.EntryKey
	isServing := isUsable(m) && m.Ready && m.State == wire.StateAlive && !c.left[m.ID]
	if isSelf || !isServing {
		return nil
	}
	old := c.entries[key]
	switch {
	case old == nil:
		c.entries[key] = &entry{member: m, announcedAt: now}
	case old.announcedAt.IsZero() && old.member.ID == m.ID:
		return nil
	case old.member == m:
		old.announcedAt = now
		return nil
	default:
		c.entries[key] = &entry{member: m, announcedAt: now, revision: old.revision, deletedRevision: old.deletedRevision, missingSince: old.missingSince}
	}
	return []Action{PublishMembers{}}
}

// checkAnnounced makes probeMissing probe the members whose announcement has not been repeated: the
// store has their entries by now, or they have ended.
func (c *Core) checkAnnounced(now time.Time) {
	for _, e := range c.entries {
		if !e.announcedAt.IsZero() && e.missingSince.IsZero() && now.Sub(e.announcedAt) >= entryTTL {
			e.missingSince = now
		}
	}
}

// applyAnnounced passes the entry of a request to the core, if it is the asker's own.
func (f *Follower) applyAnnounced(from link.Peer, req wire.RegistryRequest) {
	for _, e := range req.Announced {
		if e.Member.ID != from.ID || e.Member.Addr != from.Addr {
			continue
		}
		e.Member.Version = e.Version
		f.step(PeerAnnounced{Member: e.Member})
	}
}
