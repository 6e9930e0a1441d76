package roster

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// addMember adds a member that is not dead and queues it as an update.
func (c *Core) addMember(m wire.Member) {
	e := c.insert(m, ReasonJoined)
	c.digest.toggle(&e.m)
	c.addLive(e)
	c.updates.add(m.ID, true)
	if m.State == wire.StateSuspect {
		c.startSuspicion(e)
	}
	c.markViewChanged()
	c.reportChange(e)
}

// addDead records a member as dead, whether it was known or not. One first seen dead is neither reported by Changed nor
// queued as an update.
func (c *Core) addDead(m wire.Member, r Reason) {
	m.State = wire.StateDead
	if e := c.members[m.ID]; e != nil {
		if !e.dead() {
			c.declareDead(e, r)
		}
		return
	}
	e := c.insert(m, r)
	if e.lost() {
		c.lost = append(c.lost, m.ID)
	}
}

// insert adds an entry for a member that is not in c.members.
func (c *Core) insert(m wire.Member, r Reason) *entry {
	e := &entry{m: m, reason: r, stateChangedAt: c.now}
	c.members[m.ID] = e
	i, _ := slices.BinarySearch(c.ids, m.ID)
	c.ids = slices.Insert(c.ids, i, m.ID)
	return e
}

// addLive adds a member to the address index and, at a random place, to the ping order.
func (c *Core) addLive(e *entry) {
	c.byAddr[e.m.Addr] = e.m.ID
	i := c.Rand.IntN(len(c.live) + 1)
	c.live = slices.Insert(c.live, i, e.m.ID)
}

// removeLive removes a member from the address index and the ping order.
func (c *Core) removeLive(e *entry) {
	if c.byAddr[e.m.Addr] == e.m.ID {
		delete(c.byAddr, e.m.Addr)
	}
	i := slices.Index(c.live, e.m.ID)
	c.live = slices.Delete(c.live, i, i+1)
	if i < c.pingIndex {
		c.pingIndex--
	}
}

// apply sets the incarnation, state and readiness of a member to those of b and queues the update.
func (c *Core) apply(e *entry, b wire.Brief, r Reason) {
	wasDead := e.dead()
	if !wasDead {
		c.digest.toggle(&e.m)
	}
	oldState := e.m.State
	e.m.Incarnation = b.Incarnation
	e.m.State = b.Mark.State()
	e.m.Ready = b.Mark.Ready()
	if !e.dead() {
		c.digest.toggle(&e.m)
	}
	c.updateLists(e, wasDead, r)
	c.updates.add(e.m.ID, false)
	c.markViewChanged()
	if e.m.State != oldState {
		e.stateChangedAt = c.now
		c.reportChange(e)
	}
}

// updateLists updates what depends on a member's state: its reason, its suspicion, and the lists of live, suspected and
// lost members. It sets healingUntil when a dead member returns.
func (c *Core) updateLists(e *entry, wasDead bool, r Reason) {
	e.reason = r
	c.suspects = removeID(c.suspects, e.m.ID)
	e.suspicionDeadline = time.Time{}
	switch {
	case e.dead() && wasDead:
		return
	case e.dead():
		c.removeLive(e)
		c.recordLoss(e)
	case wasDead:
		e.reason = ReasonRefutedDeath
		c.lost = removeID(c.lost, e.m.ID)
		c.addLive(e)
		c.healingUntil = c.now.Add(healingTime)
	}
	if e.m.State == wire.StateSuspect {
		c.startSuspicion(e)
	}
}

// recordLoss adds a dead member, if it is lost, to the lost members and to the next alarm of its failure domain.
func (c *Core) recordLoss(e *entry) {
	if !e.lost() {
		return
	}
	c.lost = append(c.lost, e.m.ID)
	c.deaths[e.m.Domain] = append(c.deaths[e.m.Domain], e.m.ID)
}

func (c *Core) reportChange(e *entry) {
	c.emit(Changed{ID: e.m.ID, Addr: e.m.Addr, Domain: e.m.Domain, State: e.m.State, Reason: e.reason})
}

func removeID(ids []uint64, id uint64) []uint64 {
	if i := slices.Index(ids, id); i >= 0 {
		return slices.Delete(ids, i, i+1)
	}
	return ids
}
