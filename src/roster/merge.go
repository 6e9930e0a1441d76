package roster

import (
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// hear takes in a whole member as another one or itself describes it; it tells whether that was news.
func (c *Core) hear(m *wire.Member) bool {
	if m.ID == 0 || !m.Addr.IsValid() {
		return false
	}
	if m.ID == c.Self.ID {
		c.refute(m.Brief())
		return false
	}
	if e := c.members[m.ID]; e != nil {
		return c.hearKnown(e, m)
	}
	if m.State == wire.StateDead {
		c.remember(*m, ReasonReportedDead)
		return true
	}
	if !c.settleAddr(m) {
		return true
	}
	c.admit(*m)
	return true
}

func (c *Core) hearKnown(e *entry, m *wire.Member) bool {
	if !e.m.Addr.IsValid() {
		known := e.m
		e.m = *m
		e.m.Incarnation, e.m.State = known.Incarnation, known.State
	}
	if m.Incarnation > e.m.Incarnation {
		e.m.StartedAt = m.StartedAt
	}
	return c.hearBrief(m.Brief())
}

// settleAddr tells whether a member may live at its address: of two the later started one stays.
func (c *Core) settleAddr(m *wire.Member) bool {
	if m.Addr == c.Self.Addr {
		c.outlive(m)
		return false
	}
	id, ok := c.byAddr[m.Addr]
	if !ok || id == m.ID {
		return true
	}
	old := c.members[id]
	if before(m, &old.m) {
		c.remember(*m, ReasonReplaced)
		return false
	}
	c.bury(old, ReasonReplaced)
	return true
}

// outlive declares an earlier member at this member's own address dead.
func (c *Core) outlive(m *wire.Member) {
	if !before(m, &c.Self) {
		c.Self.StartedAt = m.StartedAt + 1
		c.renew(c.Self.Incarnation+1, c.Self.State, c.Self.Ready)
		c.news.add(c.Self.ID, true)
	}
	c.remember(*m, ReasonReplaced)
	c.news.add(m.ID, false)
}

func before(a, b *wire.Member) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt < b.StartedAt
	}
	return a.ID < b.ID
}

// hearBrief takes in news of a member; it tells whether it was news.
func (c *Core) hearBrief(b wire.Brief) bool {
	if b.ID == c.Self.ID {
		c.refute(b)
		return false
	}
	e := c.members[b.ID]
	if e == nil {
		return c.hearUnknown(b)
	}
	if !newer(b, e.m.Brief()) {
		return false
	}
	switch b.Mark.State() {
	case wire.StateDead:
		return c.hearDead(e, b)
	case wire.StateSuspect:
		return c.hearSuspect(e, b)
	}
	return c.hearAlive(e, b)
}

// newer orders news of one member: by incarnation, then by state.
func newer(a, b wire.Brief) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Mark.State() > b.Mark.State()
}

// hearUnknown remembers the death of a member never seen, so that it isn't admitted later.
func (c *Core) hearUnknown(b wire.Brief) bool {
	if b.Mark.State() != wire.StateDead || b.ID == 0 {
		return false
	}
	c.remember(wire.Member{ID: b.ID, Incarnation: b.Incarnation, State: wire.StateDead}, ReasonReportedDead)
	return true
}

func (c *Core) hearAlive(e *entry, b wire.Brief) bool {
	if e.dead() && (!e.m.Addr.IsValid() || !c.settleAddr(&e.m)) {
		return false
	}
	c.change(e, b, ReasonUpdate)
	return true
}

func (c *Core) hearSuspect(e *entry, b wire.Brief) bool {
	if e.dead() {
		return false
	}
	if e.m.State == wire.StateAlive || b.Incarnation > e.m.Incarnation {
		c.change(e, b, ReasonUpdate)
	}
	return true
}

// hearDead believes a death only of a member that is suspected or leaving; any other is asked first.
func (c *Core) hearDead(e *entry, b wire.Brief) bool {
	if b.Incarnation == leftIncarnation {
		c.change(e, b, ReasonLeft)
		return true
	}
	if e.m.State != wire.StateAlive {
		c.change(e, b, ReasonTimedOut)
		return true
	}
	c.check(e, b)
	return false
}

// check puts the claim of a death to the member meant; one that stays silent is suspected.
func (c *Core) check(e *entry, b wire.Brief) {
	again := !e.checkedAt.IsZero() && !e.heardAt.After(e.checkedAt)
	wait := c.scale(2 * c.Timing.ProbePeriod)
	if !e.checkedAt.IsZero() && c.now.Sub(e.checkedAt) < wait {
		return
	}
	e.checkedAt = c.now
	if again && c.now.After(c.graceUntil) {
		c.suspect(e, b.Incarnation, ReasonNoAnswer)
		return
	}
	if len(c.checks) < maxNews {
		c.checks = append(c.checks, b)
	}
}

// refute answers a claim that this member is suspected or dead.
func (c *Core) refute(b wire.Brief) {
	s := b.Mark.State()
	accused := s == wire.StateSuspect || s == wire.StateDead
	if b.Incarnation == leftIncarnation || b.Incarnation < c.Self.Incarnation || c.Self.State == wire.StateDead {
		return
	}
	if !accused && b.Incarnation == c.Self.Incarnation {
		return
	}
	c.renew(b.Incarnation+1, c.Self.State, c.Self.Ready)
}

// suspect begins the time in which a silent member can refute.
func (c *Core) suspect(e *entry, incarnation uint32, r Reason) {
	if e.m.State == wire.StateAlive {
		b := wire.Brief{ID: e.m.ID, Incarnation: incarnation, Mark: wire.NewMark(wire.StateSuspect, e.m.Ready)}
		c.change(e, b, r)
		return
	}
	if e.m.State == wire.StateLeaving && e.deadline.IsZero() {
		c.watchSuspect(e)
	}
}

func (c *Core) watchSuspect(e *entry) {
	e.deadline = c.now.Add(c.scale(c.Timing.suspicionTime(len(c.ring))))
	if !slices.Contains(c.suspects, e.m.ID) {
		c.suspects = append(c.suspects, e.m.ID)
	}
}

// tickSuspects declares those dead that did not refute in time.
func (c *Core) tickSuspects() {
	due := slices.Clone(c.suspects)
	for _, id := range due {
		e := c.members[id]
		if c.now.Before(c.graceUntil) || c.now.Before(e.deadline) {
			continue
		}
		c.bury(e, ReasonTimedOut)
	}
}

// bury declares a member dead and tells the others.
func (c *Core) bury(e *entry, r Reason) {
	b := wire.Brief{ID: e.m.ID, Incarnation: e.m.Incarnation, Mark: wire.NewMark(wire.StateDead, false)}
	c.change(e, b, r)
}
