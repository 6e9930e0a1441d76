package roster

import (
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// mergeMember merges the full description of a member, sent by itself or another member. It reports whether it added an
// entry for the member or accepted the state described.
func (c *Core) mergeMember(m *wire.Member) bool {
	if m.ID == 0 || !m.Addr.IsValid() {
		return false
	}
	if m.ID == c.Self.ID {
		c.refute(m.Brief())
		return false
	}
	if e := c.members[m.ID]; e != nil {
		return c.mergeKnown(e, m)
	}
	if m.State == wire.StateDead {
		c.addDead(*m, ReasonReportedDead)
		return true
	}
	if !c.resolveAddrConflict(m) {
		return true
	}
	c.addMember(*m)
	return true
}

// mergeKnown merges the description of a member in c.members. If only the death of the member was
// known, its address, service and so on are filled in.
func (c *Core) mergeKnown(e *entry, m *wire.Member) bool {
	if !e.m.Addr.IsValid() {
		known := e.m
		e.m = *m
		e.m.Incarnation, e.m.State = known.Incarnation, known.State
	}
	if m.Incarnation > e.m.Incarnation {
		e.m.StartedAt = m.StartedAt // which the member may have moved, see replaceAtOwnAddr
	}
	return c.mergeBrief(m.Brief())
}

// resolveAddrConflict reports whether m may be recorded as live at its address. Of two members at one address the one
// that started later stays and the other is declared dead; at this member's own address the other one always is.
func (c *Core) resolveAddrConflict(m *wire.Member) bool {
	if m.Addr == c.Self.Addr {
		c.replaceAtOwnAddr(m)
		return false
	}
	id, ok := c.byAddr[m.Addr]
	if !ok || id == m.ID {
		return true
	}
	old := c.members[id]
	if startedBefore(m, &old.m) {
		c.addDead(*m, ReasonReplaced)
		return false
	}
	c.declareDead(old, ReasonReplaced)
	return true
}

// replaceAtOwnAddr declares another member at this member's own address dead: it must have run earlier, whatever its
// clock said. If m claims a later start, this member's start time moves after it.
func (c *Core) replaceAtOwnAddr(m *wire.Member) {
	if !startedBefore(m, &c.Self) {
		c.Self.StartedAt = m.StartedAt + 1
		c.updateSelf(c.Self.Incarnation+1, c.Self.State, c.Self.Ready)
		c.updates.add(c.Self.ID, true)
	}
	c.addDead(*m, ReasonReplaced)
	c.updates.add(m.ID, false)
}

// startedBefore orders members by start time, then by ID.
func startedBefore(a, b *wire.Member) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt < b.StartedAt
	}
	return a.ID < b.ID
}

// mergeBrief merges a brief of a member and reports whether the state in it was accepted.
func (c *Core) mergeBrief(b wire.Brief) bool {
	if b.ID == c.Self.ID {
		c.refute(b)
		return false
	}
	e := c.members[b.ID]
	if e == nil {
		return c.mergeUnknown(b)
	}
	if !supersedes(b, e.m.Brief()) {
		return false
	}
	switch b.Mark.State() {
	case wire.StateDead:
		return c.mergeDead(e, b)
	case wire.StateSuspect:
		return c.mergeSuspect(e, b)
	}
	return c.mergeAlive(e, b)
}

// supersedes reports whether brief a of a member supersedes b: by incarnation, then by state in the order alive,
// suspect, leaving, dead.
func supersedes(a, b wire.Brief) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Mark.State() > b.Mark.State()
}

// mergeUnknown records the death of an unknown member, so that it is not added as live later.
func (c *Core) mergeUnknown(b wire.Brief) bool {
	if b.Mark.State() != wire.StateDead || b.ID == 0 {
		return false
	}
	c.addDead(wire.Member{ID: b.ID, Incarnation: b.Incarnation, State: wire.StateDead}, ReasonReportedDead)
	return true
}

// mergeAlive merges a brief with the state alive or leaving. A dead member returns only if its address is known and no
// other member keeps that address, see resolveAddrConflict.
func (c *Core) mergeAlive(e *entry, b wire.Brief) bool {
	if e.dead() && (!e.m.Addr.IsValid() || !c.resolveAddrConflict(&e.m)) {
		return false
	}
	c.apply(e, b, ReasonUpdate)
	return true
}

func (c *Core) mergeSuspect(e *entry, b wire.Brief) bool {
	if e.dead() {
		return false
	}
	if e.m.State == wire.StateAlive || b.Incarnation > e.m.Incarnation {
		c.apply(e, b, ReasonUpdate)
	}
	return true
}

// mergeDead accepts a death that the member announced itself, and a reported death of a member that is not alive here;
// the reported death of an alive member is first verified with it.
func (c *Core) mergeDead(e *entry, b wire.Brief) bool {
	if b.Incarnation == finalIncarnation {
		c.apply(e, b, ReasonLeft)
		return true
	}
	if e.m.State != wire.StateAlive {
		c.apply(e, b, ReasonTimedOut)
		return true
	}
	c.verifyDeath(e, b)
	return false
}

// verifyDeath queues a ping that carries the reported death to the member. A member that sent nothing since the previous
// verification is suspected instead, except in the grace period after a pause. Reports within two probe periods, scaled
// by scaleTimeout, after the start of a verification are ignored.
func (c *Core) verifyDeath(e *entry, b wire.Brief) {
	unanswered := !e.verifyStartedAt.IsZero() && !e.receivedAt.After(e.verifyStartedAt)
	wait := c.scaleTimeout(2 * c.Timing.ProbePeriod)
	if !e.verifyStartedAt.IsZero() && c.now.Sub(e.verifyStartedAt) < wait {
		return
	}
	e.verifyStartedAt = c.now
	if unanswered && c.now.After(c.graceUntil) {
		c.suspect(e, b.Incarnation, ReasonNoAnswer)
		return
	}
	if len(c.deathReports) < maxQueuedUpdates {
		c.deathReports = append(c.deathReports, b)
	}
}

// refute raises this member's incarnation when it is reported suspect or dead, or with a higher incarnation.
// A report with an older incarnation is ignored, and so is a death with finalIncarnation, which cannot be refuted.
func (c *Core) refute(b wire.Brief) {
	s := b.Mark.State()
	suspectOrDead := s == wire.StateSuspect || s == wire.StateDead
	if b.Incarnation == finalIncarnation || b.Incarnation < c.Self.Incarnation || c.Self.State == wire.StateDead {
		return
	}
	if !suspectOrDead && b.Incarnation == c.Self.Incarnation {
		return
	}
	c.updateSelf(b.Incarnation+1, c.Self.State, c.Self.Ready)
}

// suspect starts the suspicion of a member that did not answer. A leaving member stays leaving and only gets a
// suspicion deadline.
func (c *Core) suspect(e *entry, incarnation uint32, r Reason) {
	if e.m.State == wire.StateAlive {
		b := wire.Brief{ID: e.m.ID, Incarnation: incarnation, Mark: wire.NewMark(wire.StateSuspect, e.m.Ready)}
		c.apply(e, b, r)
		return
	}
	if e.m.State == wire.StateLeaving && e.suspicionDeadline.IsZero() {
		c.startSuspicion(e)
	}
}

// startSuspicion sets the deadline by which the member must refute.
func (c *Core) startSuspicion(e *entry) {
	e.suspicionDeadline = c.now.Add(c.scaleTimeout(c.Timing.suspicionTime(len(c.live))))
	if !slices.Contains(c.suspects, e.m.ID) {
		c.suspects = append(c.suspects, e.m.ID)
	}
}

// expireSuspicions declares members dead that did not refute in time.
func (c *Core) expireSuspicions() {
	ids := slices.Clone(c.suspects)
	for _, id := range ids {
		e := c.members[id]
		if c.now.Before(c.graceUntil) || c.now.Before(e.suspicionDeadline) {
			continue
		}
		c.declareDead(e, ReasonTimedOut)
	}
}

// declareDead sets a member's state to dead and queues the update.
func (c *Core) declareDead(e *entry, r Reason) {
	b := wire.Brief{ID: e.m.ID, Incarnation: e.m.Incarnation, Mark: wire.NewMark(wire.StateDead, false)}
	c.apply(e, b, r)
}
