package tenants

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const minDelay = 5 * time.Millisecond // between two reports, in which more requests may need credit

// Core holds an agent's part in the quotas: its Share, the Allocator with which it serves the agents
// that follow it, and the choice of the granter that it follows itself. Times must be of a clock that
// counts suspension. It does no I/O and is not safe for concurrent use.
type Core struct {
	Quota      Quota
	Self       uint64        // member ID of this agent
	NewSession func() uint64 // returns a random number other than 0

	isStarted   bool
	share       Share
	allocator   Allocator
	selector    Selector
	granter     wire.Member // that the agent follows or has followed last
	members     int
	isReporting bool   // a report to the granter is in flight
	probed      uint64 // member that is asked whether it answers, 0 for none
	confirmed   uint64 // member that has answered last when it was asked
	isCutOff    bool   // the last member asked has not answered
	isUrgent    bool
	reportAt    time.Time
}

func (c *Core) init() {
	if !c.isStarted {
		c.isStarted = true
		c.share.Quota, c.allocator.Quota, c.share.NewSession = c.Quota, c.Quota, c.NewSession
	}
}

// Configure sets the limits of a configuration version; an older version than the current one is
// ignored.
func (c *Core) Configure(version uint64, limits map[string]Limit) {
	c.init()
	c.share.Configure(version, limits)
	c.allocator.Configure(version, limits)
}

// Take decides about a request; isRepeated is true if it has been Pending before. With Limited, it
// returns the time until there will be credit.
func (c *Core) Take(now time.Time, tenant string, isRepeated bool) (Admission, time.Duration) {
	v, retryAfter := c.share.Take(now, tenant, isRepeated)
	c.isUrgent = c.isUrgent || v == AdmittedLow || v == Pending
	return v, retryAfter
}

// Wait changes the number of requests of a tenant that wait for credit.
func (c *Core) Wait(tenant string, n int64) { c.share.Wait(tenant, n) }

// Refuse returns when there will be credit for a request that was Pending too long.
func (c *Core) Refuse(now time.Time, tenant string) time.Duration {
	return c.share.Refuse(now, tenant)
}

// GiveBack returns the credit of a request that has not run.
func (c *Core) GiveBack(now time.Time, tenant string) { c.share.GiveBack(now, tenant) }

// IsUrgent reports whether Due should follow at once.
func (c *Core) IsUrgent() bool { return c.isUrgent && !c.isReporting }

// Delay returns the time until Due should follow.
func (c *Core) Delay(now time.Time) time.Duration {
	return max(minDelay, min(c.reportAt.Sub(now), reportInterval(c.members)))
}

// Interval returns the time between two reports while nothing is urgent.
func (c *Core) Interval() time.Duration { return reportInterval(c.members) }

// Receive answers a report of an agent that follows this one.
func (c *Core) Receive(now time.Time, from uint64, r *wire.TenantReport) wire.TenantGrants {
	c.init()
	return c.allocator.Report(now, from, r)
}

// Step processes an event and returns the actions to carry out.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.init()
	switch e := e.(type) {
	case Due:
		return c.due(now, e.Members)
	case Answered:
		c.answered(now, e)
	case Failed:
		c.failed(now, e)
	}
	return nil
}

func (c *Core) due(now time.Time, members []wire.Member) []Action {
	c.setMembers(now, members)
	best, ok := c.selector.Best(now, members)
	if !ok {
		best = wire.Member{ID: c.Self}
	}
	var out []Action
	if best.ID != c.Self && best.ID != c.confirmed && best.ID != c.share.Follows(now) && c.probed == 0 {
		c.probed = best.ID
		out = append(out, Send{To: best, Report: wire.TenantReport{Members: uint32(c.members)}})
	}
	isConfirmed := best.ID == c.Self || best.ID == c.confirmed
	if c.share.CanFollow(now) {
		switch {
		case isConfirmed:
			c.follow(now, best)
		case c.isCutOff:
			c.follow(now, wire.Member{ID: c.Self})
		}
	}
	followed := c.share.Follows(now)
	if followed == 0 || c.isReporting {
		return out
	}
	release := isConfirmed && followed != best.ID && !c.share.IsFailing()
	if !release && !c.isUrgent && now.Before(c.reportAt) {
		return out
	}
	if followed == c.Self {
		c.reportToSelf(now, release)
		if release {
			c.follow(now, best)
		} else {
			return out
		}
	}
	return append(out, c.report(now, release && followed != c.Self))
}

// setMembers counts the members, this agent included.
func (c *Core) setMembers(now time.Time, members []wire.Member) {
	n, isListed := len(members), false
	for i := range members {
		isListed = isListed || members[i].ID == c.Self
	}
	if !isListed {
		n++
	}
	if c.members == 0 {
		c.share.Start(now, n)
	}
	c.members = c.share.SetMembers(now, n)
	c.allocator.SetMembers(now, c.members)
	c.selector.Retain(members)
}

func (c *Core) follow(now time.Time, m wire.Member) {
	c.granter = m
	c.share.Follow(m.ID)
	c.reportAt = now
}

// report returns the next report to the granter.
func (c *Core) report(now time.Time, release bool) Action {
	c.isReporting, c.isUrgent = true, false
	c.reportAt = now.Add(reportInterval(c.members))
	return Send{To: c.granter, Report: c.share.Report(now, release)}
}

// reportToSelf reports to this agent's own allocator.
func (c *Core) reportToSelf(now time.Time, release bool) {
	c.isUrgent = false
	c.reportAt = now.Add(reportInterval(c.members))
	isAlone := !c.allocator.IsFollowed(c.Self)
	r := c.share.Report(now, release)
	g := c.allocator.Report(now, c.Self, &r)
	if release {
		c.share.Released(now, isAlone)
		return
	}
	c.share.Answered(now, now, &r, &g)
	if r.Start {
		c.reportAt = now // to delegate without delay
	}
}

func (c *Core) answered(now time.Time, e Answered) {
	c.selector.Answered(e.To.ID)
	if e.Report.Session == 0 {
		c.probed, c.confirmed, c.isCutOff = 0, e.To.ID, false
		c.reportAt = now
		return
	}
	c.isReporting = false
	if e.Report.Release {
		c.share.Released(now, false)
		c.reportAt = now
		return
	}
	c.share.Answered(now, e.SentAt, &e.Report, &e.Grants)
	if e.Report.Start || e.Grants.Reset {
		c.reportAt = now // to delegate, or to begin a new session, without delay
	}
}

func (c *Core) failed(now time.Time, e Failed) {
	c.selector.Failed(now, e.To.ID)
	if e.To.ID == c.confirmed {
		c.confirmed = 0
	}
	if e.Report.Session == 0 {
		c.probed, c.isCutOff = 0, true
		return
	}
	c.isReporting = false
	c.share.Failed(&e.Report)
	c.reportAt = now.Add(reportInterval(c.members) / 4)
}
