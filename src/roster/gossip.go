package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// news holds the members whose latest state is still to be told to others.
type news struct {
	items  []item // least often sent first
	next   time.Time
	budget float64 // bytes that may be sent now
	at     time.Time
}

// item is one member to tell of.
type item struct {
	id   uint64
	full bool // with its addresses
	sent int
}

func (n *news) add(id uint64, full bool) {
	i := slices.IndexFunc(n.items, func(x item) bool { return x.id == id })
	if i >= 0 {
		full = full || n.items[i].full
		n.items = slices.Delete(n.items, i, i+1)
	}
	if len(n.items) >= maxNews {
		return
	}
	n.items = slices.Insert(n.items, 0, item{id: id, full: full})
	if len(n.items) > crowd {
		n.dropJoin()
	}
}

// dropJoin leaves the oldest news of a join to exchanges.
func (n *news) dropJoin() {
	for i := len(n.items) - 1; i > 0; i-- {
		if n.items[i].full {
			n.items = slices.Delete(n.items, i, i+1)
			return
		}
	}
}

// earn adds the bytes that the rate allows since the last call.
func (n *news) earn(now time.Time, rate float64) {
	if n.at.IsZero() {
		n.budget = rate
	}
	n.budget = min(rate*gossipBurst, n.budget+rate*now.Sub(n.at).Seconds())
	n.at = now
}

// fill adds news to a datagram until it has limit bytes.
func (c *Core) fill(p *wire.Probe, limit int) {
	most := c.retransmits()
	size := probeSize(p)
	told := false
	for i := range c.news.items {
		n, ok := c.tell(p, &c.news.items[i], limit-size)
		size += n
		told = told || ok
		if size > limit-briefSize {
			break
		}
	}
	if !told {
		return
	}
	c.news.items = slices.DeleteFunc(c.news.items, func(x item) bool { return x.sent >= most })
	slices.SortStableFunc(c.news.items, func(a, b item) int { return cmp.Compare(a.sent, b.sent) })
}

// retransmits returns how often news is sent; while a herd comes or goes, exchanges carry the rest.
func (c *Core) retransmits() int {
	if len(c.news.items) > crowd {
		return crowdRetransmits
	}
	return retransmitFactor * int(magnitude(len(c.ring))+1)
}

// tell adds one member to a datagram if it takes at most room bytes.
func (c *Core) tell(p *wire.Probe, it *item, room int) (int, bool) {
	m := c.latest(it.id)
	if m == nil {
		it.sent = maxNews
		return 0, true
	}
	if !it.full || m.State == wire.StateDead {
		if room < briefSize {
			return 0, false
		}
		p.Briefs = append(p.Briefs, m.Brief())
		it.sent++
		return briefSize, true
	}
	n := memberSize(m)
	if room < n {
		return 0, false
	}
	p.Members = append(p.Members, *m)
	it.sent++
	return n, true
}

func (c *Core) latest(id uint64) *wire.Member {
	if id == c.Self.ID {
		return &c.Self
	}
	if e := c.members[id]; e != nil {
		return &e.m
	}
	return nil
}

// tickNews tells a few members, at once and not only with the next ping, while there is news.
func (c *Core) tickNews() {
	c.news.earn(c.now, c.Timing.GossipRate)
	if len(c.news.items) == 0 || c.now.Before(c.news.next) || c.news.budget < 0 {
		return
	}
	c.news.next = c.now.Add(c.Timing.GossipPeriod)
	c.gossip(gossipFanout)
}

func (c *Core) gossip(fanout int) {
	for _, e := range c.pick(fanout, 0) {
		p := wire.Probe{Kind: wire.ProbeGossip, To: uint32(e.m.ID)}
		c.fill(&p, wire.MaxProbeSize)
		if len(p.Briefs)+len(p.Members) == 0 {
			return
		}
		c.news.budget -= float64(probeSize(&p) + packetOverhead)
		c.send(e.m.Addr, p)
	}
}

// leave tells several members at once that this one takes no new requests.
func (c *Core) leave() {
	if c.Self.State != wire.StateAlive {
		return
	}
	c.renew(c.Self.Incarnation+1, wire.StateLeaving, false)
	c.gossip(urgentFanout)
}

// stop announces this member's own end, which is final.
func (c *Core) stop() {
	c.renew(leftIncarnation, wire.StateDead, false)
	c.gossip(urgentFanout)
}
