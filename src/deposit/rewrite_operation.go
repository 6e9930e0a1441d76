package deposit

import (
	"bytes"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// onRewriting checks the latest claim that the store may lack.
func (c *Core) onRewriting(now time.Time, e Rewriting) []Action {
	r := c.memory.nextUnfound(c.settling.era)
	if r == nil {
		return []Action{Close{Call: e.Call, Reason: "no claim to write again"}}
	}
	op := c.newOperation(now, e.Call, Claim{ID: r.claim.ID, Digest: r.claim.Digest})
	op.params = rewriteParams{id: r.claim.ID}
	c.operations[op.id] = op
	var delay time.Duration
	if c.WritesPerSecond > 0 {
		delay = time.Duration(max(1-c.writeLimiter.TokensAt(now), 0) / float64(c.writeLimiter.Limit()) * float64(time.Second))
	}
	return op.readSlot(delay)
}

// evaluateRewrite writes the remembered claim unless the slot holds it, or one of another holder of
// a later era.
func (c *Core) evaluateRewrite(now time.Time, op *operation, p rewriteParams) []Action {
	r := c.memory.getOwn(op.digest, p.id)
	if r == nil {
		return c.succeed(now, op, "claim released")
	}
	era := eraOf(op.revision)
	if c.isExpired(now, r.claim) {
		r.foundEra = era
		return c.succeed(now, op, "claim expired")
	}
	s, found := c.addRemembered(now, op, r)
	switch {
	case found == nil:
	case found.ID == p.id && found.Era == r.claim.Era && found.State == r.claim.State:
		c.memory.setFound(r, era)
		return c.succeed(now, op, "claim held by the store")
	case found.ID == p.id && found.Era == era && found.State == r.claim.State:
		c.recordWrite(now, op, *found)
		return c.succeed(now, op, "own write found")
	case found.ID != p.id && found.Era > r.claim.Era:
		r.foundEra = era
		return c.succeed(now, op, "claimed by another holder in a later era")
	}
	return c.writeEnd(now, op, s)
}

// addRemembered returns the slot with the remembered claim in place of any other of its key, and
// the claim that it replaces.
func (c *Core) addRemembered(now time.Time, op *operation, r *rememberedClaim) (wire.ClaimSlot, *wire.Claim) {
	found := findClaim(op.slot, func(claim wire.Claim) bool {
		return bytes.Equal(claim.Digest, op.digest) && (claim.ID == r.claim.ID || !c.isExpired(now, claim))
	})
	s := wire.ClaimSlot{}
	for _, other := range op.slot.Claims {
		if !bytes.Equal(other.Digest, op.digest) {
			s.Claims = append(s.Claims, other)
		}
	}
	claim := r.claim
	claim.Era = eraOf(op.revision)
	if s.Msgsize()+claim.Msgsize() > maxSlotSize && claim.State == wire.ClaimEnded {
		claim.Fields, claim.Body, claim.Omitted = nil, nil, true
	}
	s.Claims = append(s.Claims, claim)
	return s, found
}

// recordWrite remembers a claim as the store now holds it.
func (c *Core) recordWrite(now time.Time, op *operation, written wire.Claim) {
	sentAt := op.firstWriteAt
	r := &rememberedClaim{claim: written, sentAt: sentAt, ackAt: now, foundEra: written.Era}
	if known := c.memory.getOwn(written.Digest, written.ID); known != nil && known.claim.State != written.State {
		// The claim has been ended during the write. The store does not show this yet, so the claim
		// stays to be checked.
		r.claim = known.claim
		r.claim.Era = written.Era
		r.foundEra = known.foundEra
	}
	c.memory.put(r, func(claim wire.Claim) bool { return c.isExpired(now, claim) })
}

// recordRewrite remembers a claim that was written again.
func (c *Core) recordRewrite(now time.Time, op *operation, p rewriteParams) {
	if c.memory.getOwn(op.digest, p.id) == nil {
		return // released during the write
	}
	if written := findClaim(op.slot, func(claim wire.Claim) bool { return claim.ID == p.id }); written != nil {
		c.recordWrite(now, op, *written)
	}
}
