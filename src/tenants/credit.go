package tenants

import (
	"math"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	lowShare       = 0.25                   // of the last stock, below which an agent reports at once
	minLowStock    = 6                      // a smaller stock is renewed with the next report
	minDenyTime    = 100 * time.Millisecond // bounds the messages for a tenant beyond its limit
	giveBackWindow = 500 * time.Millisecond
	limitedTime    = 2 * time.Second // without a refusal, after which a tenant is no longer limited
)

// credit is what an agent may admit of one tenant without asking.
type credit struct {
	name  string
	hash  uint32
	limit Limit
	depth float64

	held                           int64
	carried                        int64 // held at the start of the session
	issued, spent, returned, asked int64 // since the start of the session
	waiting                        int64
	stock                          int64 // held after the last grant
	isDirty                        bool  // changed since the last report that was answered
	deniedUntil                    time.Time

	trimVersion uint64  // configuration version below which a granter issues by an earlier, higher limit; 0 for none
	trimTo      float64 // share of such credit that is kept
	trimRest    float64 // fraction of a credit left by that

	takenAt            time.Time // start of the current giveBackWindow
	taken, takenBefore int64     // credit taken in the current and the previous giveBackWindow, less that given back

	grantRate float64   // credit received per second
	grantAt   time.Time // when grantRate was last updated
	nextFree  time.Time // moment told to the last request that was refused
	limitedAt time.Time // of the last refusal, zero when not limited
	refused   int64     // since the tenant began to be limited
}

// take uses one credit.
func (c *credit) take(now time.Time) {
	c.held--
	c.spent++
	c.rotate(now)
	c.taken++
}

// giveBack returns one credit for a request that has not run, unless more come back than were taken
// lately: late ones would let requests of two windows run in one.
func (c *credit) giveBack(now time.Time) {
	c.rotate(now)
	switch {
	case c.taken > 0:
		c.taken--
	case c.takenBefore > 0:
		c.takenBefore--
	default:
		return
	}
	c.held++
	c.spent--
	c.isDirty = true
}

// rotate starts a new giveBackWindow when the current one is over.
func (c *credit) rotate(now time.Time) {
	switch d := now.Sub(c.takenAt); {
	case d < giveBackWindow:
	case d < 2*giveBackWindow:
		c.takenBefore, c.taken, c.takenAt = c.taken, 0, c.takenAt.Add(giveBackWindow)
	default:
		c.takenBefore, c.taken, c.takenAt = 0, 0, now
	}
}

// isLow reports whether the stock should be renewed before the next regular report.
func (c *credit) isLow() bool {
	return c.stock >= minLowStock && c.held == int64(float64(c.stock)*lowShare)
}

// setLimit sets a new limit; a lowered one lowers what is held in proportion.
func (c *credit) setLimit(l Limit, depth float64, version uint64) {
	if depth < c.depth {
		keep := depth / c.depth
		c.keep(keep)
		if c.trimVersion != 0 {
			keep *= c.trimTo
		}
		c.trimVersion, c.trimTo, c.trimRest = version, keep, 0
	}
	c.limit, c.depth = l, depth
}

// keep returns all but a share of the unused credit.
func (c *credit) keep(share float64) {
	c.giveUp(c.held - int64(math.Floor(float64(c.held)*share)))
}

// giveUp returns up to n unused credits to the granter.
func (c *credit) giveUp(n int64) {
	n = max(0, min(n, c.held))
	c.held -= n
	c.returned += n
	c.isDirty = c.isDirty || n > 0
}

// startSession counts anew, with what is held.
func (c *credit) startSession() {
	c.carried, c.issued, c.spent, c.returned, c.asked = c.held, c.held, 0, 0, 0
	c.isDirty = c.held != 0 || c.waiting > 0
	c.stock = c.held
}

// apply takes over a grant of a granter with a configuration version.
func (c *credit) apply(now time.Time, g wire.TenantGrant, version uint64, denyTime time.Duration) {
	n := g.Issued - c.issued
	c.issued = g.Issued
	c.held += n
	if n > 0 && version < c.trimVersion {
		c.trimRest += float64(n) * c.trimTo
		kept := math.Floor(c.trimRest)
		c.trimRest -= kept
		c.giveUp(n - int64(kept))
	}
	if n > 0 {
		c.stock = c.held
		if c.held > 0 {
			c.deniedUntil = time.Time{}
		}
		c.updateGrantRate(now, n)
	}
	c.giveUp(g.Return)
	if g.RetryMS > 0 && c.held <= 0 {
		c.deniedUntil = now.Add(min(max(time.Duration(g.RetryMS)*time.Millisecond, minDenyTime), denyTime))
	}
}

func (c *credit) updateGrantRate(now time.Time, n int64) {
	d := now.Sub(c.grantAt).Seconds()
	c.grantRate = c.grantRate*math.Exp(-d/demandTime.Seconds()) + float64(n)/demandTime.Seconds()
	c.grantAt = now
}

// refuse counts a refusal and returns the time until there will be credit: requests that were
// refused before come first, at the rate at which this agent receives credit.
func (c *credit) refuse(now time.Time, members int) time.Duration {
	rate := max(c.grantRate, c.limit.RatePerSecond/float64(members))
	if c.nextFree.Before(now) {
		c.nextFree = now
	}
	c.nextFree = c.nextFree.Add(time.Duration(float64(time.Second) / rate))
	if latest := now.Add(maxRetry); c.nextFree.After(latest) {
		c.nextFree = latest
	}
	c.limitedAt = now
	c.refused++
	return c.nextFree.Sub(now)
}

// report returns the wire form.
func (c *credit) report() wire.TenantCredit {
	return wire.TenantCredit{Tenant: c.hash, Carried: c.carried, Spent: c.spent, Returned: c.returned, Refused: c.asked - c.spent, Waiting: c.waiting}
}
