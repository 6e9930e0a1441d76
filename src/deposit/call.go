package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxTries   = 6                      // store reads of one claim
	shortWait  = 2 * time.Millisecond   // first wait after a conflict
	longWait   = 20 * time.Millisecond  // first wait after a failed or unsure call
	maxWait    = 500 * time.Millisecond // between two tries
	retryAfter = 2 * time.Second        // told to callers while the store fails
)

// call is one operation on one slot.
type call struct {
	id       uint64
	goal     goal
	digest   []byte
	key      string // of the store
	started  time.Time
	tries    int
	unsure   bool // an earlier write of this call may have taken effect
	writes   int
	first    time.Time // stamp of the first write
	stamp    time.Time // stamp of the write that the store holds
	revision uint64    // highest seen
	slot     wire.ClaimSlot
}

// read asks for the slot anew.
func (k *call) read(after time.Duration) []Action {
	return []Action{ReadSlot{Call: k.id, Key: k.key, Delay: after}}
}

// swap asks for the slot to be replaced.
func (k *call) swap(now time.Time, s wire.ClaimSlot) []Action {
	if k.writes == 0 {
		k.first = now
	}
	k.writes++
	k.stamp = now
	k.slot = s
	return []Action{SwapSlot{Call: k.id, Key: k.key, ExpectedRevision: k.revision, Slot: s}}
}

// slotRead goes on with a call whose read was answered.
func (c *Core) slotRead(now time.Time, e SlotRead) []Action {
	k := c.calls[e.Call]
	if k == nil {
		return nil
	}
	if e.Result == ResultUnavailable {
		return c.failed(now, k, "store unavailable")
	}
	c.breaker.worked()
	if e.Revision < k.revision {
		return c.retry(now, k, longWait, "stale read")
	}
	k.revision = e.Revision
	k.slot = e.Slot
	if _, claiming := k.goal.(claimGoal); claiming && e.Skew.Abs() > maxSkew {
		// By a wrong clock the claims of others would count as expired.
		return c.giveUp(now, k, "clock differs from the store's")
	}
	return c.plan(now, k)
}

// slotSwapped goes on with a call whose write was answered.
func (c *Core) slotSwapped(now time.Time, e SlotSwapped) []Action {
	k := c.calls[e.Call]
	if k == nil {
		return nil
	}
	switch e.Result {
	case ResultOK:
		c.breaker.worked()
		k.revision = e.Revision
		return c.done(now, k, "written")
	case ResultUnavailable:
		return c.failed(now, k, "store unavailable")
	case ResultUnsure:
		k.unsure = true
		return c.retry(now, k, longWait, "store unsure")
	}
	return c.retry(now, k, shortWait, "conflict")
}

// plan decides on the slot just read or held.
func (c *Core) plan(now time.Time, k *call) []Action {
	switch g := k.goal.(type) {
	case claimGoal:
		return c.planClaim(now, k, g)
	case confirmGoal:
		return c.planConfirm(now, k, g)
	case endGoal:
		return c.planEnd(now, k, g)
	}
	return nil
}

// done ends a call whose goal the store holds.
func (c *Core) done(now time.Time, k *call, reason string) []Action {
	delete(c.calls, k.id)
	switch g := k.goal.(type) {
	case claimGoal:
		return c.grant(k, g, reason)
	case confirmGoal:
		return c.confirmed(now, k, g, reason)
	case endGoal:
		delete(c.strays, g.claim.ID.Sequence)
		return c.close(k, g.claim, true, reason)
	}
	return nil
}

// failed goes on after a call that the store did not carry out.
func (c *Core) failed(now time.Time, k *call, reason string) []Action {
	c.breaker.failed(now, c.Rand)
	if _, ending := k.goal.(endGoal); ending {
		return c.retry(now, k, longWait, reason)
	}
	return c.giveUp(now, k, reason)
}

// retry reads the slot again after a wait, unless the call has been tried enough.
func (c *Core) retry(now time.Time, k *call, wait time.Duration, reason string) []Action {
	k.tries++
	over := k.tries >= maxTries
	if _, ending := k.goal.(endGoal); ending {
		over = now.Sub(k.started) >= c.Timeout
	}
	if over {
		return c.giveUp(now, k, reason)
	}
	wait = min(wait<<min(k.tries-1, 10), maxWait)
	return k.read(c.jitter(wait))
}

// giveUp ends a call whose goal was not reached.
func (c *Core) giveUp(now time.Time, k *call, reason string) []Action {
	delete(c.calls, k.id)
	switch g := k.goal.(type) {
	case claimGoal:
		return c.refuse(now, k, g, reason)
	case confirmGoal:
		return c.close(k, g.claim, false, reason)
	case endGoal:
		return c.close(k, g.claim, false, reason)
	}
	return nil
}

// close answers Confirming or Ended.
func (c *Core) close(k *call, claim Claim, ok bool, reason string) []Action {
	if g, isEnd := k.goal.(endGoal); isEnd && g.silent {
		return nil
	}
	return []Action{Close{Call: k.id, OK: ok, Claim: claim, Reason: reason}}
}

// jitter returns a random time from half of d up to d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Int64N(int64(d/2)+1))
}
