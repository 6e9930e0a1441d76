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
	NewSession func() uint32 // returns a random number other than 0

	isStarted   bool
	share       Share
	allocator   Allocator
	selector    Selector
	granter     wire.Member // that the agent follows or has followed last
	members     int
	isReporting bool   // a report to the granter is in flight
	majority    uint64 // granter that a majority follows as far as this agent knows, 0 for none
	isAsked     bool   // any member has been asked for it, so that this agent may be the granter itself
	nextProbe   uint64 // position of the member asked next, from a random one
	probeAt     time.Time
	probed      uint64 // member that is asked, 0 for none
	confirmed   uint64 // member that has answered last when it was asked
	isCutOff    bool   // the last member asked has not answered
	isUrgent    bool
	reportAt    time.Time
}

func (c *Core) init() {
	if !c.isStarted {
		c.isStarted = true
		c.nextProbe = uint64(c.NewSession())
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
	c.isUrgent = c.isUrgent || v == AdmittedLow || v == Pending && (!isRepeated || !c.isReporting)
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
	g := c.allocator.Report(now, from, r)
	if c.allocator.majority() > 0 {
		c.majority = c.Self
	} else if c.majority == c.Self {
		c.majority = 0
	}
	if c.majority != c.Self {
		g.Granter = c.majority
	}
	return g
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
	target := c.target(now, members)
	followed := c.share.Follows(now)
	var out []Action
	if c.probed == 0 && (c.majority == 0 || c.selector.HasFailed(c.majority)) && !now.Before(c.probeAt) {
		if m, ok := c.probe(target, followed, members); ok {
			c.probed, c.probeAt = m.ID, now.Add(reportInterval(c.members))
			out = append(out, Send{To: m, Report: wire.TenantReport{Members: uint32(c.members)}})
		}
	}
	isConfirmed := target.ID == c.majority && !c.selector.HasFailed(target.ID) || target.ID == c.confirmed || target.ID == c.Self && c.isAsked
	if c.share.CanFollow(now) {
		switch {
		case isConfirmed:
			c.follow(now, target)
		case c.isCutOff || len(members) == 0:
			c.follow(now, wire.Member{ID: c.Self})
		}
	}
	followed = c.share.Follows(now)
	if followed == 0 || c.isReporting {
		return out
	}
	release := isConfirmed && followed != target.ID && !c.share.IsFailing()
	if !release && !c.isUrgent && now.Before(c.reportAt) {
		return out
	}
	if followed == c.Self {
		c.reportToSelf(now, release)
		if !release {
			return out
		}
		c.follow(now, target)
		release = false
	}
	return append(out, c.report(now, release))
}

// target returns the granter that the agent should follow: the one that a majority follows, as far
// as it answers, otherwise the best member. So a better member that starts takes nothing over.
func (c *Core) target(now time.Time, members []wire.Member) wire.Member {
	if c.majority == c.Self && c.allocator.majority() > 0 {
		return wire.Member{ID: c.Self}
	}
	if m, ok := c.selector.Find(now, members, c.majority); ok {
		return m
	}
	c.majority = 0
	if best, ok := c.selector.Best(now, members); ok {
		return best
	}
	return wire.Member{ID: c.Self}
}

// probe returns the member to ask for the granter that a majority follows: the target, or any
// member if this agent is or follows the target.
func (c *Core) probe(target wire.Member, followed uint64, members []wire.Member) (wire.Member, bool) {
	if target.ID != c.Self && target.ID != followed && target.ID != c.confirmed {
		return target, true
	}
	for range len(members) {
		c.nextProbe++
		m := members[int(c.nextProbe%uint64(len(members)))]
		if m.ID != c.Self && m.ID != followed {
			return m, true
		}
	}
	c.isAsked = true
	return wire.Member{}, false
}

// setMembers counts the members, this agent included.
func (c *Core) setMembers(now time.Time, members []wire.Member) {
	n, isListed := 0, false
	for i := range members {
		if !c.allocator.HasDeparted(members[i].ID) {
			n++
		}
		isListed = isListed || members[i].ID == c.Self
	}
	if !isListed {
		n++
	}
	if c.members == 0 {
		c.share.Start(now, n)
	}
	c.members = c.share.SetMembers(now, n)
	c.allocator.SetMembers(now, n, c.members, c.share.peak)
	c.selector.Retain(members)
}

// Leave ends the agent's use of its part of the limits for good. It returns the report that tells
// the granter, and false if there is none to tell. Nothing may be admitted afterwards.
func (c *Core) Leave(now time.Time) (Send, bool) {
	followed := c.share.Follows(now)
	if followed == 0 || followed == c.Self {
		return Send{}, false
	}
	s := Send{To: c.granter, Report: c.share.Report(now, true)}
	s.Report.Leaves = true
	return s, true
}

func (c *Core) follow(now time.Time, m wire.Member) {
	c.granter = m
	c.share.Follow(m.ID)
	c.reportAt = now
}

// report returns the next report to the granter.
func (c *Core) report(now time.Time, release bool) Action {
	c.isReporting, c.isUrgent = true, false
	c.reportAt = c.share.NextReport(now)
	return Send{To: c.granter, Report: c.share.Report(now, release)}
}

// reportToSelf reports to this agent's own allocator.
func (c *Core) reportToSelf(now time.Time, release bool) {
	c.isUrgent = false
	c.reportAt = c.share.NextReport(now)
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
	switch {
	case e.Grants.Granter != 0:
		c.majority = e.Grants.Granter
		c.selector.Heard(c.majority)
	case e.Grants.Members > 0:
		c.majority = e.To.ID
	}
	if e.Report.Session == 0 {
		c.probed, c.confirmed, c.isCutOff, c.isAsked = 0, e.To.ID, false, true
		c.reportAt = now
		return
	}
	c.isReporting = false
	if e.Grants.Members == 0 && c.majority == e.To.ID {
		c.majority = 0
	}
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
	if e.To.ID == c.majority {
		c.majority = 0
	}
	if e.Report.Session == 0 {
		c.probed, c.probeAt, c.isCutOff, c.isAsked = 0, now, true, true
		return
	}
	c.isReporting = false
	c.share.Failed(&e.Report)
	c.reportAt = now.Add(reportInterval(c.members) / 4)
}
