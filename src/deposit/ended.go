package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// ended starts to write how a claim ended.
func (c *Core) ended(now time.Time, e Ended) []Action {
	k := c.claimed(now, e.Call, e.Claim)
	k.goal = endGoal{claim: e.Claim, ending: e.Ending, record: e.Record.bounded()}
	h := c.open[e.Claim.ID.Sequence]
	if h == nil || e.Claim.ID.Holder != c.Holder {
		return c.close(k, e.Claim, false, "claim not open here")
	}
	delete(c.open, e.Claim.ID.Sequence)
	if e.Ending == EndingRelease && len(c.strays) < maxStrays {
		c.strays[e.Claim.ID.Sequence] = struct{}{}
	}
	c.calls[k.id] = k
	k.revision = h.revision
	k.slot = h.slot
	return c.plan(now, k)
}

// planEnd writes the ending unless the slot holds it already.
func (c *Core) planEnd(now time.Time, k *call, g endGoal) []Action {
	found := find(k.slot, func(x wire.Claim) bool { return x.ID == g.claim.ID })
	if g.ending == EndingRelease {
		if found == nil && g.silent && k.revision == g.unsure {
			// A write of the same content makes the delayed one conflict.
			return c.writeEnd(now, k, k.slot)
		}
		if found == nil {
			return c.done(now, k, "claim not held by the store")
		}
		return c.writeEnd(now, k, replace(k.slot, g.claim.ID, nil))
	}
	if found == nil {
		return c.giveUp(now, k, "claim expired")
	}
	if found.State != wire.ClaimRunning {
		return c.done(now, k, "own write found")
	}
	x := *found
	x.State = wire.ClaimUnknown
	if g.ending == EndingFinish {
		x.State = wire.ClaimEnded
		x.Status, x.Fields, x.Body, x.Omitted = g.record.Status, g.record.Fields, g.record.Body, g.record.Omitted
	}
	return c.writeEnd(now, k, replace(k.slot, g.claim.ID, &x))
}

func (c *Core) writeEnd(now time.Time, k *call, s wire.ClaimSlot) []Action {
	c.budget.ReserveN(now, 1)
	return k.swap(now, s)
}

// claimed returns a call on the slot of a claim.
func (c *Core) claimed(now time.Time, id uint64, claim Claim) *call {
	return &call{id: id, digest: claim.Digest, key: slotKey(claim.Digest), started: now}
}
