package registry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxRemoved        = 512                    // removed members remembered for Reply, beyond which all are forgotten; an agent that misses a removal keeps the member until it lists the store again, and then probes it
	probeInterval     = time.Second            // between two probes of a member whose entry is missing
	peerQueryDelay    = 500 * time.Millisecond // time without the store before a peer is queried
	peerQueryInterval = 400 * time.Millisecond // less than the interval of ticks, so that each tick queries a peer; several attempts fit into the 2 s within which a configuration must be in force
)

// Core maintains the set of members and the newest configuration. It does no I/O.
//
// Its exported fields are set before the first Step. A Core is not safe for concurrent use.
type Core struct {
	Keys     Keys
	EntryKey string // key of this agent's entry
	ID       uint64 // member ID of this agent
	Rand     *rand.Rand

	entries       map[string]*entry
	removed       map[string]uint64 // revisions at which the entries of removed members were deleted, by key
	revision      uint64            // store revision that the members reflect
	config        Item
	tombstones    map[string]Item // tombstones in the first listing, by instance ID; nil before it
	storeLostAt   time.Time       // zero while the store answers
	peerQueriedAt time.Time
}

// Step processes an event that occurred at now and returns the actions to carry out, in order. It needs a Tick at regular intervals to repeat probes and queries.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.entries == nil {
		c.entries = map[string]*entry{}
		c.removed = map[string]uint64{}
	}
	switch e := e.(type) {
	case Listed:
		c.revision = max(c.revision, e.Revision)
		c.loadTombstones(e.Items)
		return c.applyListing(now, e.Items)
	case Changed:
		c.revision = max(c.revision, e.Revision)
		return c.applyChanges(now, e.Items)
	case StoreLost:
		if c.storeLostAt.IsZero() {
			c.storeLostAt = now
		}
		return c.queryPeerIfDue(now)
	case StoreAnswered:
		c.storeLostAt = time.Time{}
	case PeerReplied:
		return c.applyPeerReply(now, e)
	case MemberProbed:
		return c.applyProbeResult(e)
	case PeerSeen:
		return c.queryFirstPeer(now, e.Member)
	case Tick:
		return append(c.probeMissing(now), c.queryPeerIfDue(now)...)
	}
	return nil
}

// Members returns the members, ordered by key.
func (c *Core) Members() []wire.Member {
	out := make([]wire.Member, 0, len(c.entries))
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		out = append(out, c.entries[k].member)
	}
	return out
}

// loadTombstones keeps the tombstones of the first listing. Later ones for the local backend server are written by this agent itself.
func (c *Core) loadTombstones(items []Item) {
	if c.tombstones != nil {
		return
	}
	c.tombstones = map[string]Item{}
	for _, i := range items {
		if instance, ok := strings.CutPrefix(i.Key, c.Keys.TombstonePrefix); ok {
			c.tombstones[instance] = i
		}
	}
}

// Tombstone returns the latest start time that the tombstone of an instance ID covered when the store was first listed, zero if there was no tombstone. known is false before the first listing and if the tombstone cannot be parsed.
func (c *Core) Tombstone(instance string) (latestStart time.Time, known bool) {
	i, ok := c.tombstones[instance]
	if !ok {
		return time.Time{}, c.tombstones != nil
	}
	latestStart, err := parseTombstoneTime(i)
	return latestStart, err == nil
}

// Reply answers a peer's request: the configuration if it is newer than r.Config, the members written or deleted after r.After, and whether the store is lost or not yet listed. Unlike on the wire, the configuration in the reply is not compressed. A member whose entry is missing is reported as deleted, also while it is still being probed.
func (c *Core) Reply(r wire.RegistryRequest) wire.RegistryReply {
	out := wire.RegistryReply{Config: c.config.Revision, Revision: c.revision, Lost: !c.storeLostAt.IsZero() || c.revision == 0}
	if r.Config < c.config.Revision {
		out.Value = c.config.Value
	}
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[k]; max(e.revision, e.deletedRevision) > r.After {
			out.Members = append(out.Members, wire.RegistryEntry{Key: k, Revision: max(e.revision, e.deletedRevision), Member: e.member, Deleted: e.deletedRevision > 0})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(c.removed)) {
		if at := c.removed[k]; at > r.After && r.After > 0 {
			out.Members = append(out.Members, wire.RegistryEntry{Key: k, Revision: at, Deleted: true})
		}
	}
	return out
}

// HasUpdates reports whether there is an update for a request: a newer revision, a newer configuration or the loss of the store.
func (c *Core) HasUpdates(r wire.RegistryRequest) bool {
	return c.revision > r.After || c.config.Revision > r.Config || !c.storeLostAt.IsZero()
}

// ConfigRevision returns the store revision of the newest known configuration, 0 for none.
func (c *Core) ConfigRevision() uint64 { return c.config.Revision }

// applyListing applies a full listing; entries that are not in it are missing from the store.
func (c *Core) applyListing(now time.Time, items []Item) []Action {
	present := map[string]bool{}
	for _, i := range items {
		present[i.Key] = true
	}
	out := c.applyChanges(now, items)
	membersChanged := false
	for k, e := range c.entries {
		if !present[k] {
			membersChanged = c.markMissing(now, k, e, c.revision) || membersChanged
		}
	}
	if membersChanged {
		out = append(out, PublishMembers{})
	}
	if !present[c.EntryKey] {
		out = append(out, Announce{})
	}
	return append(out, c.probeMissing(now)...)
}

func (c *Core) applyChanges(now time.Time, items []Item) []Action {
	var out []Action
	membersChanged := false
	for _, i := range items {
		switch {
		case i.Key == c.Keys.Config:
			out = append(out, c.applyConfig(i)...)
		case strings.HasPrefix(i.Key, c.Keys.MemberPrefix):
			membersChanged = c.applyEntry(now, i) || membersChanged
			if i.Key == c.EntryKey && i.Deleted {
				out = append(out, Announce{})
			}
		}
	}
	if membersChanged {
		out = append(out, PublishMembers{})
	}
	return append(out, c.probeMissing(now)...)
}

func (c *Core) applyConfig(i Item) []Action {
	if i.Deleted || i.Revision <= c.config.Revision {
		return nil
	}
	c.config = i
	return []Action{ApplyConfig{Value: i.Value}}
}

// applyEntry applies a member's entry and reports whether the members have changed.
func (c *Core) applyEntry(now time.Time, i Item) bool {
	old := c.entries[i.Key]
	if i.Deleted {
		return old != nil && i.Revision > old.revision && c.markMissing(now, i.Key, old, i.Revision)
	}
	if old != nil && i.Revision <= old.revision {
		if i.Revision > old.deletedRevision { // the entry exists: the listing that lacked it was older than this write, which a peer had already reported
			old.missingSince, old.deletedRevision = time.Time{}, 0
		}
		return false
	}
	var m wire.Member
	if _, err := m.UnmarshalMsg(i.Value); err != nil || m.ID == 0 || !m.Addr.IsValid() || c.Keys.memberKey(m.Addr) != i.Key {
		return false // ignored: malformed, or not under the key of its address
	}
	c.setEntry(i.Key, m, i.Revision)
	return old == nil || old.member != m
}

// markMissing records that an entry is no longer in the store and reports whether its member was removed. Only a leaving member is removed at once; any other is probed first.
func (c *Core) markMissing(now time.Time, key string, e *entry, revision uint64) bool {
	e.deletedRevision = max(e.deletedRevision, revision)
	if e.member.State == wire.StateLeaving {
		c.remove(key, e)
		return true
	}
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
	return false
}

func (c *Core) setEntry(key string, m wire.Member, revision uint64) {
	c.entries[key] = &entry{member: m, revision: revision}
	delete(c.removed, key)
}

// remove removes a member and keeps the revision for the agents that watch this one.
func (c *Core) remove(key string, e *entry) {
	delete(c.entries, key)
	if len(c.removed) >= maxRemoved {
		c.removed = map[string]uint64{}
	}
	c.removed[key] = e.deletedRevision
}

// probeMissing probes the members whose entries are missing.
func (c *Core) probeMissing(now time.Time) []Action {
	var out []Action
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[k]
		if e.missingSince.IsZero() || e.probing || e.member.ID == c.ID || now.Sub(e.probedAt) < probeInterval {
			continue
		}
		e.probedAt, e.probing = now, true
		out = append(out, ProbeMember{Member: e.member})
	}
	return out
}

func (c *Core) applyProbeResult(result MemberProbed) []Action {
	for k, e := range c.entries {
		if e.member.ID != result.MemberID || !e.probing {
			continue
		}
		e.probing = false
		if !result.Alive && !e.missingSince.IsZero() {
			c.remove(k, e)
			return []Action{PublishMembers{}}
		}
	}
	return nil
}

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
	if e.Authoritative {
		c.revision = max(c.revision, r.Revision)
	}
	if len(r.Value) > 0 {
		out = c.applyConfig(Item{Key: c.Keys.Config, Value: r.Value, Revision: r.Config})
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
		case m.Key == c.EntryKey && !e.Authoritative, old != nil && m.Revision <= old.revision, c.Keys.memberKey(m.Member.Addr) != m.Key:
			// ignored: own entry from a peer that is not authoritative, entry that is not newer, entry under a wrong key
		default:
			c.setEntry(m.Key, m.Member, m.Revision)
			membersChanged = true
		}
	}
	if membersChanged {
		out = append(out, PublishMembers{})
	}
	return append(out, c.probeMissing(now)...)
}
