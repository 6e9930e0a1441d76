package relay

import "time"

// leaseState is the daemon's claim to read the store for its failure domain.
//
// No correctness rests on it: a lapsed or doubled reader costs calls only.
type leaseState struct {
	held      bool
	waiting   bool      // for the answer to a Grant or Renew
	at        time.Time // of the next Grant or Renew
	tries     int       // refusals in a row
	shutSince time.Time // of the first refusal in a row
	failures  int       // calls without an answer in a row
}

// reader tells whether the daemon's rank makes it a reader.
func (c *Core) reader() bool { return c.rank >= 0 && c.rank < c.Tuning.ReadersPerDomain }

// mayRead tells whether the daemon watches the store now.
func (c *Core) mayRead(now time.Time) bool {
	if c.Baseline {
		return true
	}
	if !c.reader() {
		return c.alone(now)
	}
	s := c.lease.shutSince
	if len(c.members) < 2 {
		s = time.Time{} // whoever holds the lease will be known soon
	}
	return c.lease.held || c.alone(now) || (!s.IsZero() && now.Sub(s) >= LeaselessReadDelay)
}

func (c *Core) dueLease(now time.Time) {
	if c.Baseline || c.lease.waiting {
		return
	}
	if !c.reader() {
		c.releaseLease()
		return
	}
	if now.Before(c.lease.at) {
		return
	}
	c.lease.waiting = true
	if c.lease.held {
		c.do(Renew{})
		return
	}
	c.do(Grant{Slot: (c.rank + c.lease.tries) % c.Tuning.ReadersPerDomain, TTL: LeaseTTL})
}

func (c *Core) releaseLease() {
	if c.lease.held {
		c.do(Release{Reason: "other members come first in rank"})
	}
	c.lease.held, c.lease.tries, c.lease.shutSince = false, 0, time.Time{}
}

func (c *Core) onLeaseAnswered(now time.Time, e LeaseAnswered) {
	l := &c.lease
	l.waiting, l.failures = false, 0
	lost := l.held && !e.Held
	l.held = e.Held
	if e.Held {
		l.tries, l.shutSince = 0, time.Time{}
		l.at = now.Add(c.between(LeaseRenewInterval*3/4, LeaseRenewInterval))
		return
	}
	if lost {
		l.at = now
		return
	}
	l.tries++
	if l.shutSince.IsZero() {
		l.shutSince = now
	}
	l.at = now.Add(c.between(LeaseRenewInterval*3/4, LeaseRenewInterval))
	if l.tries < c.Tuning.ReadersPerDomain {
		l.at = now // another slot may be free
	}
}

func (c *Core) onLeaseFailed(now time.Time) {
	c.lease.waiting = false
	c.lease.at = now.Add(c.backoff(c.lease.failures))
	if c.lease.held {
		c.lease.at = now.Add(c.between(LeaseRenewInterval/2, LeaseRenewInterval)) // the watch goes on without it
	}
	c.lease.failures++
}

func (c *Core) nextLease() time.Time {
	if c.Baseline || c.lease.waiting || !c.reader() {
		return time.Time{}
	}
	if s := c.lease.shutSince; !s.IsZero() && len(c.members) > 1 && !c.head.reading && s.Add(LeaselessReadDelay).Before(c.lease.at) {
		return s.Add(LeaselessReadDelay)
	}
	return c.lease.at
}

// backoff returns the time to wait after a number of failures before.
func (c *Core) backoff(failures int) time.Duration {
	d := min(MinBackoff<<min(failures, 8), MaxBackoff)
	return c.between(d/2, d)
}
