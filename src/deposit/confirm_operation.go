package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// onConfirming confirms a fresh claim at once and otherwise starts to renew its timestamp in the store.
func (c *Core) onConfirming(now time.Time, e Confirming) []Action {
	op := c.newOperation(now, e.Call, e.Claim)
	op.params = confirmParams{claim: e.Claim}
	open := c.openClaims[e.Claim.ID.Sequence]
	if open == nil || e.Claim.ID.Holder != c.Holder {
		return c.answerClose(op, e.Claim, false, "claim not open here")
	}
	if open.claim.isFresh(now) {
		return c.answerClose(op, open.claim, true, "fresh")
	}
	if c.settling.era > open.era {
		return c.answerClose(op, e.Claim, false, storeRestored)
	}
	c.operations[op.id] = op
	op.revision = open.revision
	op.slot = open.slot
	return c.evaluate(now, op)
}

// evaluateConfirm renews the timestamp of a claim that the slot still holds.
func (c *Core) evaluateConfirm(now time.Time, op *operation, p confirmParams) []Action {
	found := findClaim(op.slot, func(claim wire.Claim) bool { return claim.ID == p.claim.ID })
	if open := c.openClaims[p.claim.ID.Sequence]; open != nil && eraOf(op.revision) > open.era {
		// The key may have been claimed again in an era that the store has lost too, so only a
		// fresh claim is confirmed.
		return c.fail(now, op, storeRestored)
	}
	if found == nil {
		return c.fail(now, op, "claim expired")
	}
	renewed := *found
	renewed.At = now.UnixMilli()
	c.writeLimiter.ReserveN(now, 1)
	return op.swapSlot(now, replaceClaim(op.slot, p.claim.ID, &renewed))
}

// finishConfirm confirms a claim whose timestamp was renewed, or renews it again if a pause of the holder has made it stale.
func (c *Core) finishConfirm(now time.Time, op *operation, p confirmParams, reason string) []Action {
	open := c.openClaims[p.claim.ID.Sequence]
	if open == nil {
		return c.answerClose(op, p.claim, false, "claim not open here")
	}
	open.claim.ConfirmedUntil = op.writtenAt.UTC().Add(c.sendWindow())
	open.revision = op.revision
	open.slot = op.slot
	if renewed := findClaim(op.slot, func(claim wire.Claim) bool { return claim.ID == p.claim.ID }); renewed != nil {
		c.recordWrite(now, op, *renewed)
	}
	if open.claim.isFresh(now) {
		return c.answerClose(op, open.claim, true, reason)
	}
	op.attempts++
	if op.attempts >= maxAttempts {
		return c.answerClose(op, open.claim, false, "paused too often")
	}
	c.operations[op.id] = op
	return c.evaluate(now, op)
}
