package deposit

import (
	"bytes"
	"time"

	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// arrived starts the claim of a request, or refuses it when the budget of writes is spent.
func (c *Core) arrived(now time.Time, e Arrived) []Action {
	c.sequence++
	digest := digest(e.Service, e.Key)
	k := &call{
		id:      e.Call,
		goal:    claimGoal{id: wire.ClaimID{Holder: c.Holder, Sequence: c.sequence}, fingerprint: e.Fingerprint},
		digest:  digest,
		key:     slotKey(digest),
		started: now,
	}
	if len(c.open) >= maxOpen {
		return decide(k, NotRun{RetryAfter: retryAfter}, "too many open claims")
	}
	if wait := c.breaker.wait(now); wait > 0 {
		return decide(k, NotRun{RetryAfter: wait + c.jitter(retryAfter)}, "store failed a moment ago")
	}
	if wait := c.overBudget(now); wait > 0 {
		return decide(k, NotRun{RetryAfter: wait}, "budget of store writes spent")
	}
	c.calls[k.id] = k
	return k.read(0)
}

// overBudget returns how long until a further payment's writes are within the budget, 0 when they are.
func (c *Core) overBudget(now time.Time) time.Duration {
	if c.WritesPerSecond <= 0 {
		return 0
	}
	promised := len(c.open)
	for _, k := range c.calls {
		if _, claiming := k.goal.(claimGoal); claiming {
			promised += writesPerPayment - min(k.writes, 1)
		}
	}
	missing := float64(writesPerPayment+promised) - c.budget.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return max(time.Duration(missing/float64(c.budget.Limit())*float64(time.Second)), time.Millisecond)
}

// planClaim decides on a request by what the slot holds of its key.
func (c *Core) planClaim(now time.Time, k *call, g claimGoal) []Action {
	found := find(k.slot, func(x wire.Claim) bool {
		return bytes.Equal(x.Digest, k.digest) && (x.ID == g.id || !c.expired(now, x))
	})
	if found == nil || c.isStray(found.ID) {
		return c.claim(now, k, g)
	}
	if found.ID == g.id {
		// Which of the writes has taken effect is not known, so the oldest stamp counts.
		k.stamp = k.first
		return c.done(now, k, "own write found")
	}
	delete(c.calls, k.id)
	d, reason := c.repeat(now, *found, g)
	actions := decide(k, d, reason)
	if k.unsure {
		actions = append(actions, c.clean(now, k, g)...)
	}
	return actions
}

// repeat decides on a request whose key has a claim.
func (c *Core) repeat(now time.Time, x wire.Claim, g claimGoal) (Decision, string) {
	if x.Fingerprint != g.fingerprint {
		return Mismatch{}, "key used for another request"
	}
	switch x.State {
	case wire.ClaimEnded:
		return Replay{Record: Record{Status: x.Status, Fields: x.Fields, Body: x.Body, Omitted: x.Omitted}}, "outcome recorded"
	case wire.ClaimUnknown:
		return Unknown{}, "abandoned by its holder"
	}
	left := c.Timeout - now.Sub(time.UnixMilli(x.At))
	if left <= 0 {
		return Unknown{}, "not ended by its holder in time"
	}
	return InProgress{RetryAfter: min(left, retryAfter)}, "claimed by another request"
}

// claim writes a new claim and leaves out what has expired.
func (c *Core) claim(now time.Time, k *call, g claimGoal) []Action {
	s := wire.ClaimSlot{}
	for _, x := range k.slot.Claims {
		if !c.expired(now, x) && !bytes.Equal(x.Digest, k.digest) {
			s.Claims = append(s.Claims, x)
		}
	}
	s.Claims = append(s.Claims, wire.Claim{ID: g.id, Digest: k.digest, Fingerprint: g.fingerprint, At: now.UnixMilli()})
	if s.Msgsize() > maxSlotSize {
		return c.giveUp(now, k, "slot full")
	}
	c.budget.ReserveN(now, 1)
	return k.swap(now, s)
}

// grant lets the request be sent.
func (c *Core) grant(k *call, g claimGoal, reason string) []Action {
	claim := Claim{ID: g.id, Digest: k.digest, ConfirmedUntil: k.stamp.UTC().Add(c.window())}
	c.open[g.id.Sequence] = &held{claim: claim, revision: k.revision, slot: k.slot}
	return decide(k, Granted{Claim: claim}, reason)
}

// refuse answers "not run" and cleans up what an unsure write may have left.
func (c *Core) refuse(now time.Time, k *call, g claimGoal, reason string) []Action {
	actions := decide(k, NotRun{RetryAfter: c.jitter(2 * retryAfter)}, reason)
	if k.unsure {
		actions = append(actions, c.clean(now, k, g)...)
	}
	return actions
}

// clean releases a claim that was never granted but may have been written.
func (c *Core) clean(now time.Time, k *call, g claimGoal) []Action {
	if len(c.strays) >= maxStrays {
		return nil
	}
	c.strays[g.id.Sequence] = struct{}{}
	next := &call{id: k.id, digest: k.digest, key: k.key, started: now, revision: k.revision}
	next.goal = endGoal{claim: Claim{ID: g.id, Digest: k.digest}, ending: EndingRelease, unsure: k.revision, silent: true}
	c.calls[next.id] = next
	return next.read(c.jitter(longWait))
}

func (c *Core) isStray(id wire.ClaimID) bool {
	_, ok := c.strays[id.Sequence]
	return ok && id.Holder == c.Holder
}

func (c *Core) expired(now time.Time, x wire.Claim) bool {
	return now.Sub(time.UnixMilli(x.At)) >= c.Expiry
}

func decide(k *call, d Decision, reason string) []Action {
	return []Action{Decide{Call: k.id, Kind: trace.Kind(d), Decision: d, Reason: reason}}
}
