package roster

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// admit adds a member that is not dead.
func (c *Core) admit(m wire.Member) {
	e := c.insert(m, ReasonJoined)
	c.digest.toggle(&e.m)
	c.enter(e)
	c.news.add(m.ID, true)
	if m.State == wire.StateSuspect {
		c.watchSuspect(e)
	}
	c.touch()
	c.report(e)
}

// remember adds a member that is dead already.
func (c *Core) remember(m wire.Member, r Reason) {
	m.State = wire.StateDead
	if e := c.members[m.ID]; e != nil {
		if !e.dead() {
			c.bury(e, r)
		}
		return
	}
	e := c.insert(m, r)
	if e.lost() {
		c.lost = append(c.lost, m.ID)
	}
}

func (c *Core) insert(m wire.Member, r Reason) *entry {
	e := &entry{m: m, reason: r, changedAt: c.now}
	c.members[m.ID] = e
	i, _ := slices.BinarySearch(c.ids, m.ID)
	c.ids = slices.Insert(c.ids, i, m.ID)
	return e
}

// enter counts a member among those not dead.
func (c *Core) enter(e *entry) {
	c.byAddr[e.m.Addr] = e.m.ID
	i := c.Rand.IntN(len(c.ring) + 1)
	c.ring = slices.Insert(c.ring, i, e.m.ID)
}

// exit takes a member out of those not dead.
func (c *Core) exit(e *entry) {
	if c.byAddr[e.m.Addr] == e.m.ID {
		delete(c.byAddr, e.m.Addr)
	}
	i := slices.Index(c.ring, e.m.ID)
	c.ring = slices.Delete(c.ring, i, i+1)
	if i < c.ringPos {
		c.ringPos--
	}
}

// change takes a member to a newer incarnation or state and passes the news on.
func (c *Core) change(e *entry, b wire.Brief, r Reason) {
	was := e.dead()
	if !was {
		c.digest.toggle(&e.m)
	}
	old := e.m.State
	e.m.Incarnation = b.Incarnation
	e.m.State = b.Mark.State()
	e.m.Ready = b.Mark.Ready()
	if !e.dead() {
		c.digest.toggle(&e.m)
	}
	c.settle(e, was, r)
	c.news.add(e.m.ID, false)
	c.touch()
	if e.m.State != old {
		e.changedAt = c.now
		c.report(e)
	}
}

// settle moves a changed member between those not dead, the suspected and the lost.
func (c *Core) settle(e *entry, was bool, r Reason) {
	e.reason = r
	c.suspects = without(c.suspects, e.m.ID)
	e.deadline = time.Time{}
	switch {
	case e.dead() && was:
		return
	case e.dead():
		c.exit(e)
		c.noteDeath(e)
	case was:
		e.reason = ReasonRefutedDeath
		c.lost = without(c.lost, e.m.ID)
		c.enter(e)
		c.healing = c.now.Add(healingTime)
	}
	if e.m.State == wire.StateSuspect {
		c.watchSuspect(e)
	}
}

func (c *Core) noteDeath(e *entry) {
	if !e.lost() {
		return
	}
	c.lost = append(c.lost, e.m.ID)
	c.deaths[e.m.Domain] = append(c.deaths[e.m.Domain], e.m.ID)
}

func (c *Core) report(e *entry) {
	c.do(Changed{ID: e.m.ID, Addr: e.m.Addr, Domain: e.m.Domain, State: e.m.State, Reason: e.reason})
}

func without(ids []uint64, id uint64) []uint64 {
	if i := slices.Index(ids, id); i >= 0 {
		return slices.Delete(ids, i, i+1)
	}
	return ids
}
