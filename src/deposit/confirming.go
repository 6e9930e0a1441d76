package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// confirming lets a fresh claim be sent on, and renews the stamp of another.
func (c *Core) confirming(now time.Time, e Confirming) []Action {
	k := c.claimed(now, e.Call, e.Claim)
	k.goal = confirmGoal{claim: e.Claim}
	h := c.open[e.Claim.ID.Sequence]
	if h == nil || e.Claim.ID.Holder != c.Holder {
		return c.close(k, e.Claim, false, "claim not open here")
	}
	if h.claim.fresh(now) {
		return c.close(k, h.claim, true, "fresh")
	}
	c.calls[k.id] = k
	k.revision = h.revision
	k.slot = h.slot
	return c.plan(now, k)
}

// planConfirm renews the stamp of a claim that the slot still holds.
func (c *Core) planConfirm(now time.Time, k *call, g confirmGoal) []Action {
	found := find(k.slot, func(x wire.Claim) bool { return x.ID == g.claim.ID })
	if found == nil {
		return c.giveUp(now, k, "claim expired")
	}
	x := *found
	x.At = now.UnixMilli()
	c.budget.ReserveN(now, 1)
	return k.swap(now, replace(k.slot, g.claim.ID, &x))
}

// confirmed lets a claim be sent on whose stamp was renewed, or renews it again after a pause.
func (c *Core) confirmed(now time.Time, k *call, g confirmGoal, reason string) []Action {
	h := c.open[g.claim.ID.Sequence]
	if h == nil {
		return c.close(k, g.claim, false, "claim not open here")
	}
	h.claim.ConfirmedUntil = k.stamp.UTC().Add(c.window())
	h.revision = k.revision
	h.slot = k.slot
	if h.claim.fresh(now) {
		return c.close(k, h.claim, true, reason)
	}
	k.tries++
	if k.tries >= maxTries {
		return c.close(k, h.claim, false, "paused too often")
	}
	c.calls[k.id] = k
	return c.plan(now, k)
}
