package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// onEnded removes a claim from the open ones and starts to record its ending in the store.
func (c *Core) onEnded(now time.Time, e Ended) []Action {
	op := c.newOperation(now, e.Call, e.Claim)
	op.params = endParams{claim: e.Claim, ending: e.Ending, record: e.Record.limitSize()}
	open := c.openClaims[e.Claim.ID.Sequence]
	if open == nil || e.Claim.ID.Holder != c.Holder {
		return c.answerClose(op, e.Claim, false, "claim not open here")
	}
	delete(c.openClaims, e.Claim.ID.Sequence)
	if e.Ending == EndingRelease && len(c.unrecordedReleases) < maxUnrecordedReleases {
		c.unrecordedReleases[e.Claim.ID.Sequence] = struct{}{}
	}
	c.operations[op.id] = op
	op.revision = open.revision
	op.slot = open.slot
	return c.evaluate(now, op)
}

// evaluateEnd writes the ending unless the slot already holds it.
func (c *Core) evaluateEnd(now time.Time, op *operation, p endParams) []Action {
	found := findClaim(op.slot, func(claim wire.Claim) bool { return claim.ID == p.claim.ID })
	if p.ending == EndingRelease {
		if found == nil && p.background && op.revision == p.unsureRevision {
			// Writing the slot unchanged raises its revision, so that a delayed write of the claim conflicts.
			return c.writeEnd(now, op, op.slot)
		}
		if found == nil {
			return c.succeed(now, op, "claim not held by the store")
		}
		return c.writeEnd(now, op, replaceClaim(op.slot, p.claim.ID, nil))
	}
	if found == nil {
		return c.fail(now, op, "claim expired")
	}
	if found.State != wire.ClaimRunning {
		return c.succeed(now, op, "own write found")
	}
	updated := *found
	updated.State = wire.ClaimUnknown
	if p.ending == EndingFinish {
		updated.State = wire.ClaimEnded
		updated.Status, updated.Fields, updated.Body, updated.Omitted = p.record.Status, p.record.Fields, p.record.Body, p.record.Omitted
	}
	return c.writeEnd(now, op, replaceClaim(op.slot, p.claim.ID, &updated))
}

func (c *Core) writeEnd(now time.Time, op *operation, s wire.ClaimSlot) []Action {
	c.writeLimiter.ReserveN(now, 1)
	return op.swapSlot(now, s)
}

// newOperation returns an operation on the slot of a claim; the caller sets its params.
func (c *Core) newOperation(now time.Time, id uint64, claim Claim) *operation {
	return &operation{id: id, digest: claim.Digest, storeKey: slotKey(claim.Digest), startedAt: now}
}
