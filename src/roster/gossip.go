package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// updateQueue holds the members whose latest state is still to be sent, by gossip or with pings and acks.
type updateQueue struct {
	items        []update // ordered by transmits; new ones are inserted at the front
	nextGossipAt time.Time
	budget       float64 // bytes that may be sent now; negative after a round that overspent
	refilledAt   time.Time
}

// update refers to one member whose latest state is to be sent.
type update struct {
	id        uint64
	full      bool // as a full wire.Member, not only a wire.Brief
	transmits int
}

// add queues the latest state of a member, ahead of all others; full includes its description.
// An update in excess of maxQueuedUpdates is dropped.
func (q *updateQueue) add(id uint64, full bool) {
	i := slices.IndexFunc(q.items, func(x update) bool { return x.id == id })
	if i >= 0 {
		full = full || q.items[i].full
		q.items = slices.Delete(q.items, i, i+1)
	}
	if len(q.items) >= maxQueuedUpdates {
		return
	}
	q.items = slices.Insert(q.items, 0, update{id: id, full: full})
	if len(q.items) > longQueueLength {
		q.dropLastFull()
	}
}

// dropLastFull removes the last update with a full description, which has been sent most often of these; exchanges
// transfer it instead. The first update, which add has just inserted, stays.
func (q *updateQueue) dropLastFull() {
	for i := len(q.items) - 1; i > 0; i-- {
		if q.items[i].full {
			q.items = slices.Delete(q.items, i, i+1)
			return
		}
	}
}

// refill adds to the budget the bytes that the rate allows for the time since the last call.
func (q *updateQueue) refill(now time.Time, rate float64) {
	if q.refilledAt.IsZero() {
		q.budget = rate
	}
	q.budget = min(rate*gossipBurst, q.budget+rate*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
}

// appendUpdates appends queued updates to a datagram of at most limit bytes, those sent least often first.
func (c *Core) appendUpdates(p *wire.Probe, limit int) {
	maxTransmits := c.transmitLimit()
	size := probeSize(p)
	added := false
	for i := range c.updates.items {
		n, ok := c.appendUpdate(p, &c.updates.items[i], limit-size)
		size += n
		added = added || ok
		if size > limit-briefSize {
			break
		}
	}
	if !added {
		return
	}
	c.updates.items = slices.DeleteFunc(c.updates.items, func(x update) bool { return x.transmits >= maxTransmits })
	slices.SortStableFunc(c.updates.items, func(a, b update) int { return cmp.Compare(a.transmits, b.transmits) })
}

// transmitLimit returns how often an update is sent; while many members join or leave, exchanges transfer what is missed.
func (c *Core) transmitLimit() int {
	if len(c.updates.items) > longQueueLength {
		return longQueueRetransmits
	}
	return retransmitFactor * int(logSize(len(c.live))+1)
}

// appendUpdate appends one member to a datagram if it needs at most room bytes; it returns the bytes added and whether
// transmits changed.
func (c *Core) appendUpdate(p *wire.Probe, u *update, room int) (int, bool) {
	m := c.findMember(u.id)
	if m == nil {
		u.transmits = maxQueuedUpdates // above any limit, so that appendUpdates drops the update: the member is no longer known
		return 0, true
	}
	if !u.full || m.State == wire.StateDead {
		if room < briefSize {
			return 0, false
		}
		p.Briefs = append(p.Briefs, m.Brief())
		u.transmits++
		return briefSize, true
	}
	n := memberSize(m)
	if room < n {
		return 0, false
	}
	p.Members = append(p.Members, *m)
	u.transmits++
	return n, true
}

// findMember returns the member with an ID, which may be this one, or nil if the ID is unknown.
func (c *Core) findMember(id uint64) *wire.Member {
	if id == c.Self.ID {
		return &c.Self
	}
	if e := c.members[id]; e != nil {
		return &e.m
	}
	return nil
}

// tickGossip sends queued updates to a few members, so that they do not wait for the next ping.
func (c *Core) tickGossip() {
	c.updates.refill(c.now, c.Timing.GossipRate)
	if len(c.updates.items) == 0 || c.now.Before(c.updates.nextGossipAt) || c.updates.budget < 0 {
		return
	}
	c.updates.nextGossipAt = c.now.Add(c.Timing.GossipPeriod)
	c.sendGossip(gossipFanout)
}

// sendGossip sends queued updates to fanout random members and charges the budget.
func (c *Core) sendGossip(fanout int) {
	for _, e := range c.pickRandom(fanout, 0) {
		p := wire.Probe{Kind: wire.ProbeGossip, To: uint32(e.m.ID)}
		c.appendUpdates(&p, wire.MaxProbeSize)
		if len(p.Briefs)+len(p.Members) == 0 {
			return
		}
		c.updates.budget -= float64(probeSize(&p) + packetOverhead)
		c.send(e.m.Addr, p)
	}
}

// leave announces to several members at once that this one takes no new requests.
func (c *Core) leave() {
	if c.Self.State != wire.StateAlive {
		return
	}
	c.updateSelf(c.Self.Incarnation+1, wire.StateLeaving, false)
	c.sendGossip(leaveFanout)
}

// stop announces this member's death, which is final.
func (c *Core) stop() {
	c.updateSelf(finalIncarnation, wire.StateDead, false)
	c.sendGossip(leaveFanout)
}
