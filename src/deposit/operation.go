package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxAttempts       = 6                      // of a claim or confirmation, which bounds their store reads; an end is retried for Core.Timeout
	conflictBackoff   = 2 * time.Millisecond   // first delay after a write conflict
	failureBackoff    = 20 * time.Millisecond  // first delay after a failed or unsure store call
	maxBackoff        = 500 * time.Millisecond // longest delay between two attempts
	defaultRetryAfter = 2 * time.Second        // suggested wait before repeating a request that was refused or whose key is in progress
)

// storeRestored is the reason of refusals because the store came back from an older copy.
const storeRestored = "store came back from an older copy"

// operation is one claim, confirmation, end or rewrite in progress on a slot.
type operation struct {
	id           uint64 // the Call of its events and actions
	params       params
	digest       []byte
	storeKey     string // of the slot
	startedAt    time.Time
	attempts     int
	unsureWrite  bool // an earlier write of this operation may have taken effect
	writes       int
	firstWriteAt time.Time // time of the first write
	writtenAt    time.Time // time from which the claim's age is counted: of the last write, or of the first if any of them may have taken effect
	revision     uint64    // highest seen
	slot         wire.ClaimSlot
}

// readSlot requests the slot from the store.
func (op *operation) readSlot(delay time.Duration) []Action {
	return []Action{ReadSlot{Call: op.id, Key: op.storeKey, Delay: delay}}
}

// swapSlot requests that the store replace the slot, if it is still at the revision seen.
func (op *operation) swapSlot(now time.Time, s wire.ClaimSlot) []Action {
	if op.writes == 0 {
		op.firstWriteAt = now
	}
	op.writes++
	op.writtenAt = now
	op.slot = s
	return []Action{SwapSlot{Call: op.id, Key: op.storeKey, ExpectedRevision: op.revision, Slot: s}}
}

// onSlotRead continues an operation whose read was answered.
func (c *Core) onSlotRead(now time.Time, e SlotRead) []Action {
	op := c.operations[e.Call]
	if op == nil {
		return nil
	}
	if e.Result == ResultUnavailable {
		return c.onStoreUnavailable(now, op, "store unavailable")
	}
	c.breaker.recordSuccess()
	c.observeRevision(now, e.Revision)
	if e.Revision < op.revision || eraOf(e.Revision) < c.settling.era {
		return c.retry(now, op, failureBackoff, "stale read")
	}
	eraRose := op.writes > 0 && eraOf(e.Revision) != eraOf(op.revision)
	op.revision = e.Revision
	op.slot = e.Slot
	if _, isClaim := op.params.(claimParams); isClaim && eraRose {
		return c.fail(now, op, storeRestored)
	}
	if _, isClaim := op.params.(claimParams); isClaim && e.Skew.Abs() > maxSkew {
		// With a wrong clock, claims of other holders could seem expired.
		return c.fail(now, op, "clock differs from the store's")
	}
	return c.evaluate(now, op)
}

// onSlotSwapped continues an operation whose write was answered.
func (c *Core) onSlotSwapped(now time.Time, e SlotSwapped) []Action {
	op := c.operations[e.Call]
	if op == nil {
		return nil
	}
	switch e.Result {
	case ResultOK:
		c.breaker.recordSuccess()
		c.observeRevision(now, e.Revision)
		eraRose := eraOf(e.Revision) != eraOf(op.revision)
		op.revision = e.Revision
		if _, isClaim := op.params.(claimParams); isClaim && eraRose {
			// The key did not exist in either era, but may have been claimed in a copy between them.
			op.unsureWrite = true
			return c.fail(now, op, storeRestored)
		}
		return c.succeed(now, op, "written")
	case ResultUnavailable:
		return c.onStoreUnavailable(now, op, "store unavailable")
	case ResultUnsure:
		op.unsureWrite = true
		return c.retry(now, op, failureBackoff, "store unsure")
	}
	return c.retry(now, op, conflictBackoff, "conflict")
}

// evaluate takes the next step of an operation, from the slot just read or last written.
func (c *Core) evaluate(now time.Time, op *operation) []Action {
	switch p := op.params.(type) {
	case claimParams:
		return c.evaluateClaim(now, op, p)
	case confirmParams:
		return c.evaluateConfirm(now, op, p)
	case endParams:
		return c.evaluateEnd(now, op, p)
	case rewriteParams:
		return c.evaluateRewrite(now, op, p)
	}
	return nil
}

// succeed completes an operation whose effect is in the store, or renews a claim again if its confirmation took too long.
func (c *Core) succeed(now time.Time, op *operation, reason string) []Action {
	delete(c.operations, op.id)
	switch p := op.params.(type) {
	case claimParams:
		return c.grant(now, op, p, reason)
	case confirmParams:
		return c.finishConfirm(now, op, p, reason)
	case endParams:
		delete(c.unrecordedReleases, p.claim.ID.Sequence)
		c.recordEnd(now, op, p)
		return c.answerClose(op, p.claim, true, reason)
	case rewriteParams:
		if op.writes > 0 {
			c.recordRewrite(now, op, p)
		}
		return c.answerClose(op, Claim{ID: p.id, Digest: op.digest}, true, reason)
	}
	return nil
}

// onStoreUnavailable handles ResultUnavailable: an end is retried, any other operation fails.
func (c *Core) onStoreUnavailable(now time.Time, op *operation, reason string) []Action {
	c.breaker.recordFailure(now, c.Rand)
	if _, isEnd := op.params.(endParams); isEnd {
		return c.retry(now, op, failureBackoff, reason)
	}
	return c.fail(now, op, reason)
}

// retry reads the slot again after a backoff, or fails the operation if its attempts or its time are used up.
func (c *Core) retry(now time.Time, op *operation, delay time.Duration, reason string) []Action {
	op.attempts++
	exhausted := op.attempts >= maxAttempts
	if _, isEnd := op.params.(endParams); isEnd {
		exhausted = now.Sub(op.startedAt) >= c.Timeout
	}
	if exhausted {
		return c.fail(now, op, reason)
	}
	delay = min(delay<<min(op.attempts-1, 10), maxBackoff)
	return op.readSlot(c.jitter(delay))
}

// fail ends an operation that did not succeed: a claim is answered with NotRun, any other operation with Close and OK false.
func (c *Core) fail(now time.Time, op *operation, reason string) []Action {
	delete(c.operations, op.id)
	switch p := op.params.(type) {
	case claimParams:
		return c.refuse(now, op, p, reason)
	case confirmParams:
		return c.answerClose(op, p.claim, false, reason)
	case endParams:
		return c.answerClose(op, p.claim, false, reason)
	case rewriteParams:
		return c.answerClose(op, Claim{ID: p.id, Digest: op.digest}, false, reason)
	}
	return nil
}

// answerClose returns the answer to Confirming or Ended, nothing for a background release.
func (c *Core) answerClose(op *operation, claim Claim, ok bool, reason string) []Action {
	if p, isEnd := op.params.(endParams); isEnd && p.background {
		return nil
	}
	return []Action{Close{Call: op.id, OK: ok, Claim: claim, Reason: reason}}
}

// jitter returns a random duration from d/2 to d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Int64N(int64(d/2)+1))
}
