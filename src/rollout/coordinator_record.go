package rollout

import (
	"time"

	"github.com/yuccaport/yuccaport/src/registry"
)

const (
	statusRunning    = "running"
	statusCompleted  = "completed"
	statusRolledBack = "rolled_back"
)

// recordSeen follows the record, and notes if the store has gone back to an older one.
func (c *Coordinator) recordSeen(now time.Time, e RecordSeen) []Action {
	if e.Revision > c.store.revision {
		era, _ := registry.SplitRevision(e.Revision)
		knownEra, _ := registry.SplitRevision(max(c.store.revision, c.revision))
		c.store.known = c.store.known && era == knownEra
		c.store.plan, c.store.revision = e.Plan, e.Revision
		if writesStatus(e.Plan) {
			c.store.statusRevision = e.Revision
		}
		c.store.behind = c.plan.ID != 0 && !e.Plan.isRecordOf(c.plan) && (e.Plan.ID == 0 || c.plan.Supersedes(c.revision, e.Plan, e.Revision))
		if c.store.behind {
			c.store.known = false
		}
	}
	if e.Plan.ID == 0 {
		return nil
	}
	return c.adopt(now, e.Plan, e.Revision)
}

// recordRead takes in what the store holds.
func (c *Coordinator) recordRead(now time.Time, e RecordRead) []Action {
	c.reading = false
	c.store = storeState{known: true, plan: e.Plan, revision: e.Revision, statusRevision: e.StatusRevision}
	c.store.behind = c.plan.ID != 0 && !e.Plan.isRecordOf(c.plan) && (e.Plan.ID == 0 || c.plan.Supersedes(c.revision, e.Plan, e.Revision))
	if e.Plan.ID == 0 {
		return nil
	}
	return c.adopt(now, e.Plan, e.Revision)
}

// writeDone takes in a record that this coordinator has written.
func (c *Coordinator) writeDone(now time.Time, e WriteDone) []Action {
	if c.pending == nil {
		return nil
	}
	w := *c.pending
	c.pending = nil
	c.store.plan, c.store.revision, c.store.behind = w.Plan, e.Revision, false
	if w.Status != "" {
		c.store.statusRevision = e.Revision
	}
	return c.adopt(now, w.Plan, e.Revision)
}

// adopt takes a record as the known one if it supersedes it.
func (c *Coordinator) adopt(now time.Time, p Plan, revision uint64) []Action {
	if p.isRecordOf(c.plan) || c.plan.ID != 0 && !p.Supersedes(revision, c.plan, c.revision) {
		return nil
	}
	var out []Action
	waiting := c.next
	if !p.Order.Same(c.order) {
		isSettled := c.hasRecord() && c.plan.Stage.IsSettled()
		if c.order != (Order{}) && !p.covers(c.order) && !isSettled {
			waiting = c.order // without a record yet; it starts after the one that has
		}
		out = c.start(now, p.Order)
	}
	if p.Stage == StageShift || p.Stage == StageDrainOld {
		c.judge.Hold(now)
	}
	c.order, c.next = p.Order, waiting
	c.plan, c.revision = p, revision
	c.addEarlier(p.Earlier...)
	if started := now.Add(-p.Elapsed); started.Before(c.started) {
		c.started = started
	}
	out = append(out, c.log("rollout "+p.Stage.String(), p.Reason))
	if p.Order == c.withdrawn {
		out = append(out, c.stop(now, "order withdrawn")...) // written by another coordinator before it knew
	}
	if p.Stage.IsSettled() && c.next != (Order{}) && !p.covers(c.next) {
		out = append(out, c.start(now, c.next)...)
	}
	return out
}

// act reads or writes the store if the record has to change and it is this coordinator's turn.
func (c *Coordinator) act(now time.Time) []Action {
	if c.turn == 0 || c.pending != nil || c.reading {
		return nil
	}
	wanted, ok := c.wantedRecord(now)
	if !ok {
		c.wanted, c.since = Plan{}, time.Time{}
		return nil
	}
	if !wanted.isRecordOf(c.wanted) {
		c.since = now
	}
	c.wanted = wanted
	if now.Before(c.since.Add(time.Duration(c.turn-1) * rankDelay)) {
		return nil
	}
	if !c.store.known {
		if now.Before(c.readAt) {
			return nil
		}
		c.reading = true
		return []Action{ReadRecord{}}
	}
	w := WriteRecord{Plan: wanted, Revision: c.store.revision, StatusRevision: c.store.statusRevision}
	if writesStatus(wanted) || c.store.statusRevision == 0 || c.store.behind {
		w.Status = status(wanted.Stage)
	}
	c.pending, c.hasWritten = &w, true
	return []Action{w}
}

// writesStatus reports whether the status record is written together with a record.
func writesStatus(p Plan) bool { return p.ID != 0 && (p.Step == 1 || p.Stage.IsSettled()) }

func status(s Stage) string {
	switch s {
	case StageCompleted:
		return statusCompleted
	case StageRolledBack:
		return statusRolledBack
	}
	return statusRunning
}

// wantedRecord returns the record that the store ought to hold now, if it is not the one known.
func (c *Coordinator) wantedRecord(now time.Time) (Plan, bool) {
	if c.store.behind {
		return c.plan, true
	}
	if c.order == (Order{}) || c.hasRecord() && c.plan.Stage.IsSettled() {
		return Plan{}, false
	}
	stage, share, reason := c.wantedStage(now)
	if stage == StageNone {
		return Plan{}, false
	}
	p := Plan{
		Order: c.order, ID: c.id(), Stage: stage, Share: share, Step: 1, Elapsed: c.elapsed(now), Reason: reason,
		Earlier: c.earlier,
	}
	if c.hasRecord() {
		p.Step = c.plan.Step + 1
	}
	return p, true
}
