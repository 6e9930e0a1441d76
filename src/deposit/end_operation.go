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
	c.rememberEnd(e)
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
	if r := c.memory.getOwn(op.digest, p.claim.ID); found == nil && r != nil && r.claim.Era < eraOf(op.revision) {
		s, other := c.addRemembered(now, op, r)
		if other != nil && other.Era > r.claim.Era {
			return c.fail(now, op, "claimed by another holder in a later era")
		}
		return c.writeEnd(now, op, s)
	}
	if found == nil {
		return c.fail(now, op, "claim expired")
	}
	if found.State != wire.ClaimRunning {
		return c.succeed(now, op, "own write found")
	}
	updated := *found
	setEnding(&updated, p.ending, p.record)
	updated.Era = eraOf(op.revision)
	return c.writeEnd(now, op, replaceClaim(op.slot, p.claim.ID, &updated))
}

// setEnding sets the state of a claim whose request ran or may have run.
func setEnding(claim *wire.Claim, ending Ending, r Record) {
	claim.State = wire.ClaimUnknown
	if ending == EndingFinish {
		claim.State = wire.ClaimEnded
		claim.Status, claim.Fields, claim.Body, claim.Omitted = r.Status, r.Fields, r.Body, r.Omitted
	}
}

// rememberEnd sets the ending in the remembered claim before it is in the store, and forgets a
// released claim.
func (c *Core) rememberEnd(e Ended) {
	r := c.memory.getOwn(e.Claim.Digest, e.Claim.ID)
	switch {
	case r == nil:
	case e.Ending == EndingRelease:
		c.memory.remove(e.Claim.Digest)
	default:
		setEnding(&r.claim, e.Ending, e.Record.limitSize())
	}
}

// recordEnd remembers the claim as its end has left it in the store.
func (c *Core) recordEnd(now time.Time, op *operation, p endParams) {
	if p.ending == EndingRelease || op.writes == 0 {
		return
	}
	if written := findClaim(op.slot, func(claim wire.Claim) bool { return claim.ID == p.claim.ID }); written != nil {
		c.recordWrite(now, op, *written)
	}
}

func (c *Core) writeEnd(now time.Time, op *operation, s wire.ClaimSlot) []Action {
	c.writeLimiter.ReserveN(now, 1)
	return op.swapSlot(now, s)
}

// newOperation returns an operation on the slot of a claim; the caller sets its params.
func (c *Core) newOperation(now time.Time, id uint64, claim Claim) *operation {
	return &operation{id: id, digest: claim.Digest, storeKey: slotKey(claim.Digest), startedAt: now}
}
