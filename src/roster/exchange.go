package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// exchange is the repair of what gossip has missed.
type exchange struct {
	joined bool // a full copy has been read
	busy   bool
	next   time.Time // earliest start of the next one
	differ time.Time // since when digests differ; zero while they agree
}

// compare starts an exchange with a member whose digest stays different.
func (c *Core) compare(e *entry, digest uint32) {
	x := &c.exchange
	if digest == uint32(c.digest.sum()) {
		x.differ = time.Time{}
		return
	}
	if x.differ.IsZero() {
		x.differ = c.now
	}
	settle := c.Timing.SettleTime
	if c.now.Before(c.youngUntil) {
		settle /= 4
	}
	settled := c.now.Sub(c.changed) >= settle || c.now.Sub(x.differ) >= 4*settle
	if x.busy || c.now.Before(x.next) || (x.joined && !settled) {
		return
	}
	c.startRepair(e)
}

// startRepair asks for all members at first, later only for what differs.
func (c *Core) startRepair(e *entry) {
	if !c.exchange.joined {
		c.startExchange(e, wire.RosterRequest{Full: true, Members: []wire.Member{c.Self}})
		return
	}
	c.startExchange(e, wire.RosterRequest{Buckets: slices.Clone(c.digest.buckets[:])})
}

func (c *Core) startExchange(e *entry, r wire.RosterRequest) {
	c.exchange.busy = true
	c.exchange.next = c.now.Add(c.around(c.Timing.ExchangeInterval))
	c.do(Exchange{Peer: peerOf(&e.m), Request: r})
}

// exchanged takes in a peer's answer and sends it what it lacks.
func (c *Core) exchanged(x Exchanged) {
	c.exchange.busy = false
	e := c.members[x.Peer]
	if x.Failed || e == nil {
		return
	}
	before := len(c.news.items)
	defer func() { c.capNews(before) }()
	for i := range x.Reply.Members {
		c.hear(&x.Reply.Members[i])
	}
	for _, b := range x.Reply.Dead {
		c.hearBrief(b)
	}
	if x.Request.Full {
		c.readPage(e, x)
		return
	}
	if len(x.Request.Buckets) > 0 {
		c.sendMissing(e, x.Reply)
	}
}

func (c *Core) readPage(e *entry, x Exchanged) {
	n := len(x.Reply.Members)
	if !x.Reply.More || n == 0 {
		c.exchange.joined = true
		return
	}
	c.startExchange(e, wire.RosterRequest{Full: true, After: x.Reply.Members[n-1].ID})
}

// sendMissing asks for the members that are new here and sends those that the peer lacks or holds stale.
func (c *Core) sendMissing(e *entry, r wire.RosterReply) {
	req := wire.RosterRequest{}
	theirs := make(map[uint64]wire.Brief, len(r.Briefs))
	for _, b := range r.Briefs {
		theirs[b.ID] = b
		c.takeBrief(&req, b)
	}
	for _, id := range c.ids {
		c.offer(&req, &c.members[id].m, r.Differ, theirs)
	}
	c.offer(&req, &c.Self, r.Differ, theirs)
	if len(req.Want)+len(req.Members)+len(req.Dead) > 0 {
		c.startExchange(e, req)
	}
}

// takeBrief takes in one of the peer's briefs, or notes what to ask or tell about it.
func (c *Core) takeBrief(req *wire.RosterRequest, b wire.Brief) {
	e := c.members[b.ID]
	switch {
	case b.ID == c.Self.ID:
		c.hearBrief(b)
	case e == nil || !e.m.Addr.IsValid():
		if len(req.Want) < pageSize {
			req.Want = append(req.Want, b.ID)
		}
	default:
		c.hearBrief(b)
	}
	if e != nil && e.dead() && len(req.Dead) < pageSize {
		req.Dead = append(req.Dead, e.m.Brief())
	}
}

// offer adds a member to the request if the peer lacks it or holds an older state.
func (c *Core) offer(req *wire.RosterRequest, m *wire.Member, differ uint64, theirs map[uint64]wire.Brief) {
	if m.State == wire.StateDead || differ&(1<<bucketOf(m.ID)) == 0 || len(req.Members) >= pageSize {
		return
	}
	if b, ok := theirs[m.ID]; !ok || newer(m.Brief(), b) {
		req.Members = append(req.Members, *m)
	}
}

// capNews takes back the news of a large exchange, which the others learn by exchanges of their own.
func (c *Core) capNews(before int) {
	excess := len(c.news.items) - before - smallBatch
	if excess <= 0 {
		return
	}
	c.news.items = slices.DeleteFunc(c.news.items, func(it item) bool {
		excess--
		return excess >= 0 && it.id != c.Self.ID
	})
}

// answer serves an exchange that a peer has begun.
func (c *Core) answer(r wire.RosterRequest) {
	reply := wire.RosterReply{}
	before := len(c.news.items)
	for i := range r.Members {
		c.answerOffer(&reply, &r.Members[i])
	}
	for _, b := range r.Dead {
		c.hearBrief(b)
	}
	c.capNews(before)
	if r.Full {
		c.answerPage(&reply, r.After)
	}
	if len(r.Buckets) == bucketCount {
		c.answerBuckets(&reply, r.Buckets)
	}
	for _, id := range r.Want[:min(len(r.Want), pageSize)] {
		if m := c.latest(id); m != nil && m.Addr.IsValid() {
			reply.Members = append(reply.Members, *m)
		}
	}
	c.do(Answer{Reply: reply})
}

// answerOffer takes in a member, or tells the peer that it has died.
func (c *Core) answerOffer(reply *wire.RosterReply, m *wire.Member) {
	c.hear(m)
	if e := c.members[m.ID]; e != nil && e.dead() {
		reply.Dead = append(reply.Dead, e.m.Brief())
	}
}

func (c *Core) answerPage(reply *wire.RosterReply, after uint64) {
	for _, m := range c.alive() {
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

func (c *Core) answerBuckets(reply *wire.RosterReply, theirs []uint64) {
	for i, d := range c.digest.buckets {
		if d != theirs[i] {
			reply.Differ |= 1 << i
		}
	}
	for _, m := range c.alive() {
		if reply.Differ&(1<<bucketOf(m.ID)) != 0 {
			reply.Briefs = append(reply.Briefs, m.Brief())
		}
	}
}

// alive returns all members that are not dead, this one too, by ascending ID.
func (c *Core) alive() []wire.Member {
	out := make([]wire.Member, 0, len(c.ring)+1)
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
