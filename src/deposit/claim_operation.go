package deposit

import (
	"bytes"
	"time"

	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// onArrived starts the claim of a request. It refuses the request at once if too many claims are open, the store has just failed or the write budget is spent.
func (c *Core) onArrived(now time.Time, e Arrived) []Action {
	c.lastSequence++
	digest := keyDigest(e.Service, e.Key)
	op := &operation{
		id:        e.Call,
		params:    claimParams{id: wire.ClaimID{Holder: c.Holder, Sequence: c.lastSequence}, fingerprint: e.Fingerprint},
		digest:    digest,
		storeKey:  slotKey(digest),
		startedAt: now,
	}
	if len(c.openClaims) >= maxOpenClaims {
		return decide(op, NotRun{RetryAfter: defaultRetryAfter}, "too many open claims")
	}
	if wait := c.breaker.remaining(now); wait > 0 {
		return decide(op, NotRun{RetryAfter: wait + c.jitter(defaultRetryAfter)}, "store failed a moment ago")
	}
	if wait := c.budgetWait(now); wait > 0 {
		return decide(op, NotRun{RetryAfter: wait}, "budget of store writes spent")
	}
	c.operations[op.id] = op
	return op.readSlot(0)
}

// budgetWait returns the time until the write budget covers one more request, 0 if it does so now.
func (c *Core) budgetWait(now time.Time) time.Duration {
	if c.WritesPerSecond <= 0 {
		return 0
	}
	reserved := len(c.openClaims) // writes still to come: one for each open claim
	for _, op := range c.operations {
		if _, isClaim := op.params.(claimParams); isClaim {
			reserved += writesPerRequest - min(op.writes, 1)
		}
	}
	shortfall := float64(writesPerRequest+reserved) - c.writeLimiter.TokensAt(now)
	if shortfall <= 0 {
		return 0
	}
	return max(time.Duration(shortfall/float64(c.writeLimiter.Limit())*float64(time.Second)), time.Millisecond)
}

// evaluateClaim decides on a request by the claim that the slot holds for its key.
func (c *Core) evaluateClaim(now time.Time, op *operation, p claimParams) []Action {
	found := findClaim(op.slot, func(claim wire.Claim) bool {
		return bytes.Equal(claim.Digest, op.digest) && (claim.ID == p.id || !c.isExpired(now, claim))
	})
	if found == nil || c.hasUnrecordedRelease(found.ID) {
		return c.claimFree(now, op, p)
	}
	if found.ID == p.id {
		// Any of the writes of this operation may be the one that took effect, so the claim's age is counted from the first.
		op.writtenAt = op.firstWriteAt
		return c.succeed(now, op, "own write found")
	}
	if known := c.knownFromEarlierEra(now, op); known != nil {
		return c.answerRepeat(now, op, p, *known)
	}
	return c.answerRepeat(now, op, p, *found)
}

// claimFree claims a key of which the store shows no claim. A claim that the store has lost with an
// era is answered from
// memory; while other holders may not have written theirs again, the request is refused.
func (c *Core) claimFree(now time.Time, op *operation, p claimParams) []Action {
	if known := c.knownFromEarlierEra(now, op); known != nil {
		return c.answerRepeat(now, op, p, *known)
	}
	if wait := c.settling.remaining(now); wait > 0 {
		delete(c.operations, op.id)
		return c.refuseAfter(now, op, p, wait+c.jitter(defaultRetryAfter), storeRestored)
	}
	return c.writeClaim(now, op, p)
}

// knownFromEarlierEra returns the claim of this holder for the operation's key if it was last
// written in an earlier era and has not expired, or nil.
func (c *Core) knownFromEarlierEra(now time.Time, op *operation) *wire.Claim {
	r := c.memory.get(op.digest)
	if r == nil || r.claim.Era >= eraOf(op.revision) || c.isExpired(now, r.claim) {
		return nil
	}
	return &r.claim
}

// answerRepeat answers a request whose key already has a claim.
func (c *Core) answerRepeat(now time.Time, op *operation, p claimParams, existing wire.Claim) []Action {
	delete(c.operations, op.id)
	d, reason := c.decideRepeat(now, existing, p)
	actions := decide(op, d, reason)
	if op.unsureWrite {
		actions = append(actions, c.releaseUngranted(now, op, p)...)
	}
	return actions
}

// decideRepeat decides on a request whose key already has a claim.
func (c *Core) decideRepeat(now time.Time, existing wire.Claim, p claimParams) (Decision, string) {
	if existing.Fingerprint != p.fingerprint {
		return Mismatch{}, "key used for another request"
	}
	switch existing.State {
	case wire.ClaimEnded:
		return Replay{Record: Record{Status: existing.Status, Fields: existing.Fields, Body: existing.Body, Omitted: existing.Omitted}}, "outcome recorded"
	case wire.ClaimUnknown:
		return Unknown{}, "abandoned by its holder"
	}
	remaining := c.Timeout - now.Sub(time.UnixMilli(existing.At))
	if remaining <= 0 {
		return Unknown{}, "not ended by its holder in time"
	}
	return InProgress{RetryAfter: min(remaining, defaultRetryAfter)}, "claimed by another request"
}

// writeClaim adds a claim to the slot and drops expired claims.
func (c *Core) writeClaim(now time.Time, op *operation, p claimParams) []Action {
	s := wire.ClaimSlot{}
	for _, other := range op.slot.Claims {
		if !c.isExpired(now, other) && !bytes.Equal(other.Digest, op.digest) {
			s.Claims = append(s.Claims, other)
		}
	}
	s.Claims = append(s.Claims, wire.Claim{ID: p.id, Digest: op.digest, Fingerprint: p.fingerprint, At: now.UnixMilli(), Era: eraOf(op.revision)})
	if s.Msgsize() > maxSlotSize {
		return c.fail(now, op, "slot full")
	}
	c.writeLimiter.ReserveN(now, 1)
	return op.swapSlot(now, s)
}

// grant opens the claim, so that the request can be sent.
func (c *Core) grant(now time.Time, op *operation, p claimParams, reason string) []Action {
	claim := Claim{ID: p.id, Digest: op.digest, ConfirmedUntil: op.writtenAt.UTC().Add(c.sendWindow())}
	c.openClaims[p.id.Sequence] = &openClaim{claim: claim, revision: op.revision, slot: op.slot, era: eraOf(op.revision)}
	if written := findClaim(op.slot, func(claim wire.Claim) bool { return claim.ID == p.id }); written != nil {
		c.recordWrite(now, op, *written)
	}
	return decide(op, Granted{Claim: claim}, reason)
}

// refuse answers NotRun and releases the claim that an unsure write may have stored.
func (c *Core) refuse(now time.Time, op *operation, p claimParams, reason string) []Action {
	return c.refuseAfter(now, op, p, c.jitter(2*defaultRetryAfter), reason)
}

// refuseAfter is refuse with a time to repeat the request.
func (c *Core) refuseAfter(now time.Time, op *operation, p claimParams, retryAfter time.Duration, reason string) []Action {
	actions := decide(op, NotRun{RetryAfter: retryAfter}, reason)
	if op.unsureWrite {
		actions = append(actions, c.releaseUngranted(now, op, p)...)
	}
	return actions
}

// releaseUngranted starts a background release of a claim that was never granted but may have been written.
func (c *Core) releaseUngranted(now time.Time, op *operation, p claimParams) []Action {
	if len(c.unrecordedReleases) >= maxUnrecordedReleases {
		return nil
	}
	c.unrecordedReleases[p.id.Sequence] = struct{}{}
	// The claim operation has ended, so the release takes over its call ID.
	release := &operation{id: op.id, digest: op.digest, storeKey: op.storeKey, startedAt: now, revision: op.revision}
	release.params = endParams{claim: Claim{ID: p.id, Digest: op.digest}, ending: EndingRelease, unsureRevision: op.revision, background: true}
	c.operations[release.id] = release
	return release.readSlot(c.jitter(failureBackoff))
}

// hasUnrecordedRelease reports whether id is a claim of this holder whose release is in progress or has failed, so that the store may still hold the claim.
func (c *Core) hasUnrecordedRelease(id wire.ClaimID) bool {
	_, ok := c.unrecordedReleases[id.Sequence]
	return ok && id.Holder == c.Holder
}

func (c *Core) isExpired(now time.Time, claim wire.Claim) bool {
	return now.Sub(time.UnixMilli(claim.At)) >= c.Expiry
}

// decide returns the answer to Arrived.
func decide(op *operation, d Decision, reason string) []Action {
	return []Action{Decide{Call: op.id, Kind: trace.Kind(d), Decision: d, Reason: reason}}
}
