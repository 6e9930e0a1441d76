package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// exchangeState is the state of anti-entropy, which repairs what gossip missed. A sync with a member is a sequence of
// exchanges, each of one request and its reply.
type exchangeState struct {
	hasFullCopy bool      // a full copy has been read
	inProgress  bool      // an exchange is in progress
	nextAt      time.Time // earliest start of the next exchange for a differing digest; further pages, the second exchange of a sync and joins do not wait
	differSince time.Time // zero while digests agree
}

// compareDigest starts a sync with a member whose digest differs, if no exchange is in progress and nextAt has passed.
// It also waits until the view has not changed for SettleTime, or digests have differed for 4*SettleTime; both are a
// quarter as long during startupTime, and neither is awaited until a full copy has been read.
func (c *Core) compareDigest(e *entry, peerDigest uint32) {
	s := &c.exchange
	if peerDigest == uint32(c.digest.sum()) {
		s.differSince = time.Time{}
		return
	}
	if s.differSince.IsZero() {
		s.differSince = c.now
	}
	settle := c.Timing.SettleTime
	if c.now.Before(c.startupUntil) {
		settle /= 4
	}
	settled := c.now.Sub(c.viewChangedAt) >= settle || c.now.Sub(s.differSince) >= 4*settle
	if s.inProgress || c.now.Before(s.nextAt) || (s.hasFullCopy && !settled) {
		return
	}
	c.startSync(e)
}

// startSync starts a sync with a member: for a full copy of the roster until one has been read, then for the differences.
func (c *Core) startSync(e *entry) {
	if !c.exchange.hasFullCopy {
		c.startExchange(e, wire.RosterRequest{Full: true, Members: []wire.Member{c.Self}})
		return
	}
	c.startExchange(e, wire.RosterRequest{Buckets: slices.Clone(c.digest.buckets[:])})
}

func (c *Core) startExchange(e *entry, r wire.RosterRequest) {
	c.exchange.inProgress = true
	c.exchange.nextAt = c.now.Add(c.jitterAround(c.Timing.MinExchangeInterval))
	c.emit(Exchange{Peer: peerOf(&e.m), Request: r})
}

// finishExchange merges a peer's reply and continues the sync with the next page or the second exchange, if needed.
func (c *Core) finishExchange(x Exchanged) {
	c.exchange.inProgress = false
	e := c.members[x.Peer]
	if x.Failed || e == nil {
		return
	}
	queuedBefore := len(c.updates.items)
	defer func() { c.capUpdates(queuedBefore) }()
	for i := range x.Reply.Members {
		c.mergeMember(&x.Reply.Members[i])
	}
	for _, b := range x.Reply.Dead {
		c.mergeBrief(b)
	}
	if x.Request.Full {
		c.continueFullCopy(e, x)
		return
	}
	if len(x.Request.Buckets) > 0 {
		c.reconcile(e, x.Reply)
	}
}

// continueFullCopy requests the next page of a full copy, or ends the copy.
func (c *Core) continueFullCopy(e *entry, x Exchanged) {
	n := len(x.Reply.Members)
	if !x.Reply.More || n == 0 {
		c.exchange.hasFullCopy = true
		return
	}
	c.startExchange(e, wire.RosterRequest{Full: true, After: x.Reply.Members[n-1].ID})
}

// reconcile starts the second exchange of a sync: it requests members unknown here and sends those that the peer lacks or holds in an older state.
func (c *Core) reconcile(e *entry, r wire.RosterReply) {
	req := wire.RosterRequest{}
	peerBriefs := make(map[uint64]wire.Brief, len(r.Briefs))
	for _, b := range r.Briefs {
		peerBriefs[b.ID] = b
		c.reconcileBrief(&req, b)
	}
	for _, id := range c.ids {
		c.offerMember(&req, &c.members[id].m, r.Differ, peerBriefs)
	}
	c.offerMember(&req, &c.Self, r.Differ, peerBriefs)
	if len(req.Want)+len(req.Members)+len(req.Dead) > 0 {
		c.startExchange(e, req)
	}
}

// reconcileBrief merges one of the peer's briefs, or requests the member if its address is unknown here. If the member is
// dead here, the request also reports its death.
func (c *Core) reconcileBrief(req *wire.RosterRequest, b wire.Brief) {
	e := c.members[b.ID]
	switch {
	case b.ID == c.Self.ID:
		c.mergeBrief(b)
	case e == nil || !e.m.Addr.IsValid():
		if len(req.Want) < pageSize {
			req.Want = append(req.Want, b.ID)
		}
	default:
		c.mergeBrief(b)
	}
	if e != nil && e.dead() && len(req.Dead) < pageSize {
		req.Dead = append(req.Dead, e.m.Brief())
	}
}

// offerMember adds a member of a differing bucket to the request if the peer lacks it or holds an older state.
func (c *Core) offerMember(req *wire.RosterRequest, m *wire.Member, differ uint64, peerBriefs map[uint64]wire.Brief) {
	if m.State == wire.StateDead || differ&(1<<bucketOf(m.ID)) == 0 || len(req.Members) >= pageSize {
		return
	}
	if b, ok := peerBriefs[m.ID]; !ok || supersedes(m.Brief(), b) {
		req.Members = append(req.Members, *m)
	}
}

// capUpdates removes from the front of the queue the updates in excess of maxExchangeUpdates that an exchange added,
// except this member's own; other members receive the removed ones by exchanges of their own. queuedBefore is
// the queue's length before the exchange.
func (c *Core) capUpdates(queuedBefore int) {
	excess := len(c.updates.items) - queuedBefore - maxExchangeUpdates
	if excess <= 0 {
		return
	}
	c.updates.items = slices.DeleteFunc(c.updates.items, func(it update) bool {
		excess--
		return excess >= 0 && it.id != c.Self.ID
	})
}

// serveExchange answers a peer's request for an exchange.
func (c *Core) serveExchange(r wire.RosterRequest) {
	reply := wire.RosterReply{}
	queuedBefore := len(c.updates.items)
	for i := range r.Members {
		c.mergeOffered(&reply, &r.Members[i])
	}
	for _, b := range r.Dead {
		c.mergeBrief(b)
	}
	c.capUpdates(queuedBefore)
	if r.Full {
		c.addPage(&reply, r.After)
	}
	if len(r.Buckets) == bucketCount {
		c.addDifferences(&reply, r.Buckets)
	}
	for _, id := range r.Want[:min(len(r.Want), pageSize)] {
		if m := c.findMember(id); m != nil && m.Addr.IsValid() {
			reply.Members = append(reply.Members, *m)
		}
	}
	c.emit(Answer{Reply: reply})
}

// mergeOffered merges a member that the peer sent and adds it to the reply if it is dead.
func (c *Core) mergeOffered(reply *wire.RosterReply, m *wire.Member) {
	c.mergeMember(m)
	if e := c.members[m.ID]; e != nil && e.dead() {
		reply.Dead = append(reply.Dead, e.m.Brief())
	}
}

// addPage adds up to pageSize members that are not dead, with IDs above after.
func (c *Core) addPage(reply *wire.RosterReply, after uint64) {
	for _, m := range c.liveMembers() {
		if m.ID <= after {
			continue
		}
		if len(reply.Members) == pageSize {
			reply.More = true
			return
		}
		reply.Members = append(reply.Members, m)
	}
}

// addDifferences adds the mask of differing buckets and briefs of their members.
func (c *Core) addDifferences(reply *wire.RosterReply, peerBuckets []uint64) {
	for i, d := range c.digest.buckets {
		if d != peerBuckets[i] {
			reply.Differ |= 1 << i
		}
	}
	for _, m := range c.liveMembers() {
		if reply.Differ&(1<<bucketOf(m.ID)) != 0 {
			reply.Briefs = append(reply.Briefs, m.Brief())
		}
	}
}

// liveMembers returns all members that are not dead, this one included, by ascending ID.
func (c *Core) liveMembers() []wire.Member {
	out := make([]wire.Member, 0, len(c.live)+1)
	if c.Self.State != wire.StateDead {
		out = append(out, c.Self)
	}
	for _, id := range c.ids {
		if e := c.members[id]; !e.dead() {
			out = append(out, e.m)
		}
	}
	slices.SortFunc(out, func(a, b wire.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
