package relay

import "time"

// leaseState is the state of the lease with which a daemon watches the store for its failure domain.
//
// Correctness does not depend on the lease: a reader that watches without a lease, or after losing it, only costs extra store calls.
type leaseState struct {
	held        bool
	pending     bool      // a Grant or Renew is in progress
	nextCallAt  time.Time // time of the next Grant or Renew
	denials     int       // denied Grants in a row
	deniedSince time.Time // time of the first of these denials, zero for none
	failures    int       // calls without an answer, in a row
}

// hasReaderRank reports whether the daemon is a reader by rank.
func (c *Core) hasReaderRank() bool { return c.rank >= 0 && c.rank < c.Tuning.ReadersPerDomain }

// mayWatch reports whether the daemon may watch the store now: as the holder of a lease, without one after LeaselessReadDelay, in fallback or with DirectWatch.
func (c *Core) mayWatch(now time.Time) bool {
	if c.DirectWatch {
		return true
	}
	if !c.hasReaderRank() {
		return c.inFallback(now)
	}
	since := c.lease.deniedSince
	if len(c.members) < 2 {
		since = time.Time{} // the holder of the lease is not listed yet; wait for the member list
	}
	return c.lease.held || c.inFallback(now) || (!since.IsZero() && now.Sub(since) >= LeaselessReadDelay)
}

func (c *Core) startDueLeaseCall(now time.Time) {
	if c.DirectWatch || c.lease.pending {
		return
	}
	if !c.hasReaderRank() {
		c.releaseLease()
		return
	}
	if now.Before(c.lease.nextCallAt) {
		return
	}
	c.lease.pending = true
	if c.lease.held {
		c.emit(Renew{})
		return
	}
	c.emit(Grant{Slot: (c.rank + c.lease.denials) % c.Tuning.ReadersPerDomain, TTL: LeaseTTL})
}

// releaseLease releases the lease, if held, and forgets denials, once the daemon is not a reader by rank.
func (c *Core) releaseLease() {
	if c.lease.held {
		c.emit(Release{Reason: "other members come first in rank"})
	}
	c.lease.held, c.lease.denials, c.lease.deniedSince = false, 0, time.Time{}
}

func (c *Core) onLeaseAnswered(now time.Time, e LeaseAnswered) {
	l := &c.lease
	l.pending, l.failures = false, 0
	lost := l.held && !e.Held
	l.held = e.Held
	if e.Held {
		l.denials, l.deniedSince = 0, time.Time{}
		l.nextCallAt = now.Add(c.randomDuration(LeaseRenewInterval*3/4, LeaseRenewInterval))
		return
	}
	if lost {
		l.nextCallAt = now
		return
	}
	l.denials++
	if l.deniedSince.IsZero() {
		l.deniedSince = now
	}
	l.nextCallAt = now.Add(c.randomDuration(LeaseRenewInterval*3/4, LeaseRenewInterval))
	if l.denials < c.Tuning.ReadersPerDomain {
		l.nextCallAt = now // another slot may be free
	}
}

func (c *Core) onLeaseFailed(now time.Time) {
	c.lease.pending = false
	c.lease.nextCallAt = now.Add(c.backoff(c.lease.failures))
	if c.lease.held {
		c.lease.nextCallAt = now.Add(c.randomDuration(LeaseRenewInterval/2, LeaseRenewInterval)) // the watch continues even if the lease expires meanwhile
	}
	c.lease.failures++
}

// leaseCallDueAt returns the time of the next Grant or Renew or, if earlier, the time at which a daemon that was denied the lease may watch without it; zero for none.
func (c *Core) leaseCallDueAt() time.Time {
	if c.DirectWatch || c.lease.pending || !c.hasReaderRank() {
		return time.Time{}
	}
	if since := c.lease.deniedSince; !since.IsZero() && len(c.members) > 1 && !c.head.watching && since.Add(LeaselessReadDelay).Before(c.lease.nextCallAt) {
		return since.Add(LeaselessReadDelay)
	}
	return c.lease.nextCallAt
}

// backoff returns the delay, with jitter, after the given number of earlier failures in a row.
func (c *Core) backoff(failures int) time.Duration {
	d := min(MinBackoff<<min(failures, 8), MaxBackoff)
	return c.randomDuration(d/2, d)
}
