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
	maxRemoved    = 512         // removed members remembered for Reply, beyond which all are forgotten; an agent that misses a removal keeps the member until it lists the store again, and then probes it
	probeInterval = time.Second // between two probes of a member whose entry is missing
)

// Core maintains the set of members and the newest configuration. It does no I/O.
//
// Its exported fields are set before the first Step. A Core is not safe for concurrent use.
type Core struct {
	Keys     Keys
	EntryKey string // key of this agent's entry
	ID       uint64 // member ID of this agent
	Rand     *rand.Rand
	// ConfigVersion returns the version of a configuration, 0 if it cannot be read. A store that
	// comes back from an older copy holds an older version, which must not replace a newer one. If
	// nil, revisions alone order configurations.
	ConfigVersion func(value []byte) uint64

	// KeepItem reports whether a known record of a rollout stays when a store that came back from an
	// older copy shows another value, nil if it lacks the key; it must be false for orders. If nil,
	// revisions alone order the records.
	KeepItem func(key string, known, shown []byte) bool

	entries       map[string]*entry
	items         itemSet
	peerReplied   bool              // a peer has answered a query
	removed       map[string]uint64 // revisions at which the entries of removed members were deleted, by key
	left          map[uint64]bool   // IDs of removed members that were leaving
	revision      uint64            // store revision that the members reflect
	config        Item
	configVersion uint64 // of config, 0 if unknown
	rejection     rejection
	tombstones    tombstoneSet
	start         startQuery
	storeLostAt   time.Time // zero while the store answers
	peerQueriedAt time.Time
}

// Step processes an event that occurred at now and returns the actions to carry out, in order. It needs a Tick at regular intervals to repeat probes and queries.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.entries == nil {
		c.entries = map[string]*entry{}
		c.removed, c.left = map[string]uint64{}, map[uint64]bool{}
		c.items.keep = c.KeepItem
	}
	switch e := e.(type) {
	case Listed:
		if c.isOfEarlierEra(e.Revision) {
			return nil
		}
		c.revision = max(c.revision, e.Revision)
		return append(c.applyListing(now, e.Items, e.Revision), c.queryAtStart(now)...)
	case Changed:
		if c.isOfEarlierEra(e.Revision) {
			return nil
		}
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
	case StartQueryEnded:
		c.start.pending--
	case MemberProbed:
		return c.applyProbeResult(e)
	case PeerSeen:
		return c.queryFirstPeer(now, e.Member)
	case PeerAnnounced:
		return c.applyPeerAnnouncement(now, e.Member)
	case ConfigRejected:
		c.rejectConfig(e.Value)
	case Tick:
		c.checkAnnounced(now)
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

// isOfEarlierEra reports whether an answer of the store is of an earlier era than what the members
// reflect, as one that was late.
func (c *Core) isOfEarlierEra(revision uint64) bool {
	era, _ := SplitRevision(revision)
	current, _ := SplitRevision(c.revision)
	return era < current
}

// Tombstone returns the latest start time that the tombstone of an instance ID covers, zero if
// there is no tombstone. known is false until the store has been listed and peers have been asked,
// since a store that came back from an older copy may have lost a tombstone, and if the tombstone
// cannot be parsed.
func (c *Core) Tombstone(now time.Time, instance string) (latestStart time.Time, known bool) {
	return c.tombstones.latestStart(instance), c.start.isDone(now) && !c.tombstones.unreadable[instance]
}

// KnowsItems reports whether the orders and records of rollouts are known: the store has been listed
// and peers have been asked, since a store that came back from an older copy may lack one, or a peer
// has answered while the store does not.
func (c *Core) KnowsItems(now time.Time) bool {
	return c.start.isDone(now) || c.start.askedAt.IsZero() && c.peerReplied
}

// hasNewerConfig reports whether the configuration is newer than that of a peer's request.
func (c *Core) hasNewerConfig(r wire.RegistryRequest) bool {
	if c.configVersion > 0 && r.ConfigVersion > 0 {
		return c.configVersion > r.ConfigVersion
	}
	return c.config.Revision > r.Config
}

// Reply answers a peer's request: the configuration if it is newer than the peer's, the members and
// tombstones written or deleted after r.After, and whether the store is lost or not yet listed.
// Unlike on the wire, the configuration in the reply is not compressed. A member whose entry is
// missing is reported as deleted, also while it is still being probed.
func (c *Core) Reply(r wire.RegistryRequest) wire.RegistryReply {
	out := wire.RegistryReply{Config: c.config.Revision, ConfigVersion: c.configVersion, Revision: c.revision, Lost: !c.storeLostAt.IsZero() || c.revision == 0}
	if c.hasNewerConfig(r) {
		out.Value = c.config.Value
	}
	tombstonesAfter := r.After
	if r.Start {
		tombstonesAfter = 0
	}
	out.Tombstones = c.tombstones.after(tombstonesAfter)
	out.Items = c.items.after(tombstonesAfter)
	if isWithoutEra(r.After) && !isWithoutEra(c.revision) {
		out.Lost = true // an agent of an older build, which does not know eras, is to read the store itself
	}
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[k]; max(e.revision, e.deletedRevision) > r.After {
			out.Members = append(out.Members, wire.RegistryEntry{Key: k, Revision: max(e.revision, e.deletedRevision), Member: e.member, Version: e.member.Version, Deleted: e.deletedRevision > 0})
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
	return c.revision > r.After || c.hasNewerConfig(r) || !c.storeLostAt.IsZero()
}

// Config returns the store revision and the version of the newest known configuration, 0 for none.
func (c *Core) Config() (revision, version uint64) { return c.config.Revision, c.configVersion }

// applyListing applies a full listing at a revision; entries that are not in it are missing from the
// store, unless they were written after it.
func (c *Core) applyListing(now time.Time, items []Item, revision uint64) []Action {
	present := map[string]bool{}
	for _, i := range items {
		present[i.Key] = true
	}
	out := c.applyChanges(now, items)
	membersChanged := false
	for k, e := range c.entries {
		if !present[k] && e.revision <= revision {
			membersChanged = c.markMissing(now, k, e, c.revision) || membersChanged
		}
	}
	if membersChanged {
		out = append(out, PublishMembers{})
	}
	out = append(out, c.items.missing(present, revision)...)
	if own := c.entries[c.EntryKey]; !present[c.EntryKey] && (own == nil || own.revision <= revision) {
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
		case c.Keys.isItem(i.Key):
			out = append(out, c.items.apply(i)...)
		case strings.HasPrefix(i.Key, c.Keys.TombstonePrefix):
			c.tombstones.addItem(strings.TrimPrefix(i.Key, c.Keys.TombstonePrefix), i)
		case strings.HasPrefix(i.Key, c.Keys.MemberPrefix):
			membersChanged = c.applyEntry(now, i) || membersChanged
			if i.Key == c.EntryKey && (i.Deleted || c.isOverwritten(i)) {
				out = append(out, Announce{})
			}
		}
	}
	if membersChanged {
		out = append(out, PublishMembers{})
	}
	return append(out, c.probeMissing(now)...)
}

// applyConfig keeps a configuration that is newer: by version or, of those whose versions are equal
// or unknown, by revision.
func (c *Core) applyConfig(i Item) []Action {
	if i.Deleted || c.rejection.matches(i) {
		return nil
	}
	version := uint64(0)
	if c.ConfigVersion != nil {
		version = c.ConfigVersion(i.Value)
	}
	switch {
	case version > 0 && c.configVersion > 0 && version != c.configVersion:
		if version < c.configVersion {
			return nil
		}
	case i.Revision <= c.config.Revision:
		return nil
	}
	c.rejection.previous, c.rejection.previousVersion = c.config, c.configVersion
	c.config, c.configVersion = i, version
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
	m, err := decodeMember(i.Value)
	if err != nil || !isUsable(m) || c.Keys.memberKey(m.Addr) != i.Key {
		return false // ignored: malformed, or not under the key of its address
	}
	if old != nil && isOlderCopy(old, m, i.Revision) {
		m = old.member
	}
	c.setEntry(i.Key, m, i.Revision)
	return old == nil || old.member != m
}

// isOverwritten reports whether this agent's entry holds what no agent writes. It is then to be written
// again: others cannot read it.
func (c *Core) isOverwritten(i Item) bool {
	m, err := decodeMember(i.Value)
	return err != nil || !isUsable(m)
}

// isOlderCopy reports whether an entry of a new era lacks the leave of a member that was known
// before: the store came back from a copy that is older than the leave.
func isOlderCopy(old *entry, m wire.Member, revision uint64) bool {
	oldEra, _ := SplitRevision(old.revision)
	era, _ := SplitRevision(revision)
	return era > oldEra && m.ID == old.member.ID && old.member.State == wire.StateLeaving && m.State != wire.StateLeaving && m.StartedAt <= old.member.StartedAt
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
	if e.member.State == wire.StateLeaving {
		if len(c.left) >= maxRemoved {
			clear(c.left)
		}
		c.left[e.member.ID] = true
	}
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
