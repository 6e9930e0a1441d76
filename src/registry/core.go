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
	maxGone      = 512                    // removed members that are remembered; who lacks one asks it over its link
	confirmEvery = time.Second            // between two questions to a member whose entry has lapsed
	askPeerAfter = 500 * time.Millisecond // without the store until a peer is asked
	askPeerEvery = 500 * time.Millisecond // well inside the two seconds in which a configuration is in force
)

// Core decides which members there are and which configuration is the newest.
type Core struct {
	Keys     Keys
	EntryKey string // key of the own entry
	ID       uint64 // own member ID
	Rand     *rand.Rand

	entries  map[string]*entry
	gone     map[string]uint64 // revisions that removed the entries of members that are no longer known
	revision uint64            // of the store, up to which the members are known
	config   Item
	left     map[string]Item // markers of the first list by instance, nil before it
	lost     time.Time       // when the store stopped answering, zero while it answers
	peerAt   time.Time       // when a peer was last asked
}

// Step decides on one event.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.entries == nil {
		c.entries = map[string]*entry{}
		c.gone = map[string]uint64{}
	}
	switch e := e.(type) {
	case Listed:
		c.revision = max(c.revision, e.Revision)
		c.noteLeft(e.Items)
		return c.listed(now, e.Items)
	case Changed:
		c.revision = max(c.revision, e.Revision)
		return c.changed(now, e.Items)
	case StoreLost:
		if c.lost.IsZero() {
			c.lost = now
		}
		return c.askPeer(now)
	case StoreRecovered:
		c.lost = time.Time{}
	case PeerReplied:
		return c.peerTold(now, e)
	case MemberProbed:
		return c.confirmed(e)
	case Tick:
		return append(c.confirm(now), c.askPeer(now)...)
	}
	return nil
}

// Members returns the members by ascending key.
func (c *Core) Members() []wire.Member {
	out := make([]wire.Member, 0, len(c.entries))
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		out = append(out, c.entries[k].member)
	}
	return out
}

// noteLeft keeps the markers of the first list: later ones are written by this daemon itself, if they concern the backend server beside it.
func (c *Core) noteLeft(items []Item) {
	if c.left != nil {
		return
	}
	c.left = map[string]Item{}
	for _, i := range items {
		if instance, ok := strings.CutPrefix(i.Key, c.Keys.TombstonePrefix); ok {
			c.left[instance] = i
		}
	}
}

// Tombstone returns the start until which incarnations of an instance had left when the store was first listed, zero for none; known is false before that and for a marker that cannot be read.
func (c *Core) Tombstone(instance string) (until time.Time, known bool) {
	i, ok := c.left[instance]
	if !ok {
		return time.Time{}, c.left != nil
	}
	until, err := parseMarker(i)
	return until, err == nil
}

// Reply answers a peer that asks what is known.
func (c *Core) Reply(r wire.RegistryRequest) wire.RegistryReply {
	out := wire.RegistryReply{Config: c.config.Revision, Revision: c.revision, Lost: !c.lost.IsZero() || c.revision == 0}
	if r.Config < c.config.Revision {
		out.Value = c.config.Value
	}
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[k]; max(e.revision, e.deleted) > r.After {
			out.Members = append(out.Members, wire.RegistryEntry{Key: k, Revision: max(e.revision, e.deleted), Member: e.member, Deleted: e.deleted > 0})
		}
	}
	for _, k := range slices.Sorted(maps.Keys(c.gone)) {
		if at := c.gone[k]; at > r.After && r.After > 0 {
			out.Members = append(out.Members, wire.RegistryEntry{Key: k, Revision: at, Deleted: true})
		}
	}
	return out
}

// HasUpdates tells whether there is something that an asker lacks.
func (c *Core) HasUpdates(r wire.RegistryRequest) bool {
	return c.revision > r.After || c.config.Revision > r.Config || !c.lost.IsZero()
}

// ConfigRevision returns the revision that wrote the newest configuration known, 0 for none.
func (c *Core) ConfigRevision() uint64 { return c.config.Revision }

// listed takes over a whole picture: an entry that it lacks has lapsed.
func (c *Core) listed(now time.Time, items []Item) []Action {
	present := map[string]bool{}
	for _, i := range items {
		present[i.Key] = true
	}
	out := c.changed(now, items)
	removed := false
	for k, e := range c.entries {
		if !present[k] {
			removed = c.lapse(now, k, e, c.revision) || removed
		}
	}
	if removed {
		out = append(out, PublishMembers{})
	}
	if !present[c.EntryKey] {
		out = append(out, Announce{})
	}
	return append(out, c.confirm(now)...)
}

func (c *Core) changed(now time.Time, items []Item) []Action {
	var out []Action
	published := false
	for _, i := range items {
		switch {
		case i.Key == c.Keys.Config:
			out = append(out, c.takeConfig(i)...)
		case strings.HasPrefix(i.Key, c.Keys.MemberPrefix):
			published = c.takeEntry(now, i) || published
			if i.Key == c.EntryKey && i.Deleted {
				out = append(out, Announce{})
			}
		}
	}
	if published {
		out = append(out, PublishMembers{})
	}
	return append(out, c.confirm(now)...)
}

func (c *Core) takeConfig(i Item) []Action {
	if i.Deleted || i.Revision <= c.config.Revision {
		return nil
	}
	c.config = i
	return []Action{ApplyConfig{Value: i.Value}}
}

// takeEntry tells whether the members have changed.
func (c *Core) takeEntry(now time.Time, i Item) bool {
	old := c.entries[i.Key]
	if i.Deleted {
		return old != nil && i.Revision > old.revision && c.lapse(now, i.Key, old, i.Revision)
	}
	if old != nil && i.Revision <= old.revision {
		if i.Revision > old.deleted {
			old.lapsed, old.deleted = time.Time{}, 0
		}
		return false
	}
	var m wire.Member
	if _, err := m.UnmarshalMsg(i.Value); err != nil || m.ID == 0 || !m.Addr.IsValid() || c.Keys.member(m.Addr) != i.Key {
		return false // not written by an agent; names no member
	}
	c.put(i.Key, m, i.Revision)
	return old == nil || old.member != m
}

// lapse takes in that the store no longer has an entry; only a member that has said that it leaves is gone for it.
func (c *Core) lapse(now time.Time, key string, e *entry, revision uint64) bool {
	e.deleted = max(e.deleted, revision)
	if e.member.State == wire.StateLeaving {
		c.remove(key, e)
		return true
	}
	if e.lapsed.IsZero() {
		e.lapsed = now
	}
	return false
}

func (c *Core) put(key string, m wire.Member, revision uint64) {
	c.entries[key] = &entry{member: m, revision: revision}
	delete(c.gone, key)
}

// remove forgets a member; the revision that removed it is kept for those who follow the store through this daemon.
func (c *Core) remove(key string, e *entry) {
	delete(c.entries, key)
	if len(c.gone) >= maxGone {
		c.gone = map[string]uint64{}
	}
	c.gone[key] = e.deleted
}

// confirm asks the members whose entries have lapsed whether they live.
func (c *Core) confirm(now time.Time) []Action {
	var out []Action
	for _, k := range slices.Sorted(maps.Keys(c.entries)) {
		e := c.entries[k]
		if e.lapsed.IsZero() || e.waiting || e.member.ID == c.ID || now.Sub(e.asked) < confirmEvery {
			continue
		}
		e.asked, e.waiting = now, true
		out = append(out, ProbeMember{Member: e.member})
	}
	return out
}

func (c *Core) confirmed(e MemberProbed) []Action {
	for k, x := range c.entries {
		if x.member.ID != e.Member || !x.waiting {
			continue
		}
		x.waiting = false
		if !e.Alive && !x.lapsed.IsZero() {
			c.remove(k, x)
			return []Action{PublishMembers{}}
		}
	}
	return nil
}

// askPeer asks a random member while the store does not answer.
func (c *Core) askPeer(now time.Time) []Action {
	if c.lost.IsZero() || now.Sub(c.lost) < askPeerAfter || now.Sub(c.peerAt) < askPeerEvery {
		return nil
	}
	peers := slices.DeleteFunc(c.Members(), func(m wire.Member) bool { return m.ID == c.ID || m.State != wire.StateAlive })
	if len(peers) == 0 {
		return nil
	}
	c.peerAt = now
	return []Action{AskPeer{Member: peers[c.Rand.IntN(len(peers))]}}
}

// peerTold takes over what is newer at a peer; what a peer lacks proves nothing, unless it tells that it was removed.
func (c *Core) peerTold(now time.Time, e PeerReplied) []Action {
	r := e.Reply
	var out []Action
	if e.Authoritative {
		c.revision = max(c.revision, r.Revision)
	}
	if len(r.Value) > 0 {
		out = c.takeConfig(Item{Key: c.Keys.Config, Value: r.Value, Revision: r.Config})
	}
	published := false
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
				published = c.lapse(now, m.Key, old, m.Revision) || published
			}
		case m.Key == c.EntryKey && !e.Authoritative, old != nil && m.Revision <= old.revision, c.Keys.member(m.Member.Addr) != m.Key:
		default:
			c.put(m.Key, m.Member, m.Revision)
			published = true
		}
	}
	if published {
		out = append(out, PublishMembers{})
	}
	return append(out, c.confirm(now)...)
}
