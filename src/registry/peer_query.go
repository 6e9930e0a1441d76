package registry

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	peerQueryDelay    = 500 * time.Millisecond // time without the store before a peer is queried
	peerQueryInterval = 400 * time.Millisecond // less than the interval of ticks, so that each tick queries a peer; several attempts fit into the 2 s within which a configuration must be in force
)

// queryPeerIfDue queries a random alive member, at most once per peerQueryInterval, while the store does not answer.
func (c *Core) queryPeerIfDue(now time.Time) []Action {
	if c.storeLostAt.IsZero() || now.Sub(c.storeLostAt) < peerQueryDelay || now.Sub(c.peerQueriedAt) < peerQueryInterval {
		return nil
	}
	peers := slices.DeleteFunc(c.Members(), func(m wire.Member) bool { return m.ID == c.ID || m.State != wire.StateAlive })
	if len(peers) == 0 {
		return nil
	}
	c.peerQueriedAt = now
	return []Action{QueryPeer{Member: peers[c.Rand.IntN(len(peers))]}}
}

// queryFirstPeer queries an agent that has dialled this one if this one has no configuration and the store does not answer, as after a start during an outage: it then knows no other member.
func (c *Core) queryFirstPeer(now time.Time, m wire.Member) []Action {
	if c.storeLostAt.IsZero() || c.config.Revision > 0 || m.ID == c.ID || now.Sub(c.peerQueriedAt) < peerQueryInterval {
		return nil
	}
	c.peerQueriedAt = now
	return []Action{QueryPeer{Member: m}}
}

// applyPeerReply applies the newer entries and the newer configuration of a peer's reply. An entry that the reply lacks is kept: only a deletion reported by an authoritative peer marks it as missing.
func (c *Core) applyPeerReply(now time.Time, e PeerReplied) []Action {
	r := e.Reply
	var out []Action
	for _, t := range r.Tombstones {
		c.tombstones.add(t)
	}
	for _, i := range r.Items {
		if c.Keys.isItem(i.Key) {
			out = append(out, c.items.applyPeer(Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}, e.Authoritative)...)
		}
	}
	c.peerReplied = true
	if e.Authoritative {
		c.revision = max(c.revision, r.Revision)
	}
	if len(r.Value) > 0 {
		out = append(out, c.applyConfig(Item{Key: c.Keys.Config, Value: r.Value, Revision: r.Config})...)
	}
	membersChanged := false
	for _, m := range r.Members {
		old := c.entries[m.Key]
		switch {
		case m.Deleted:
			if !e.Authoritative || old != nil && m.Revision <= old.revision {
				continue
			}
			if m.Key == c.EntryKey {
				out = append(out, Announce{})
			}
			if old != nil {
				membersChanged = c.markMissing(now, m.Key, old, m.Revision) || membersChanged
			}
		case m.Key == c.EntryKey && !e.Authoritative, old != nil && m.Revision <= old.revision, c.Keys.memberKey(m.Member.Addr) != m.Key, !isUsable(m.Member), len(m.Version) > maxNameBytes:
			// ignored: own entry from a peer that is not authoritative, entry that is not newer, entry under a wrong key or that names no server
		default:
			m.Member.Version = m.Version
			c.setEntry(m.Key, m.Member, m.Revision)
			membersChanged = true
		}
	}
	if membersChanged {
		out = append(out, PublishMembers{})
	}
	return append(out, c.probeMissing(now)...)
}
