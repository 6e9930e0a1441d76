package tenants

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Share is the core of an agent that admits requests against credit from its granter. It does no I/O
// and is not safe for concurrent use.
//
// The agent follows one granter at a time, in a session. Credit is valid for one lease since the
// last report that was answered was sent, and the delegation of the agent's part binds for one lease
// since the last report that delegated was sent. Between sessions the agent keeps of its credit what
// its own part of the limits may hold.
type Share struct {
	Quota      Quota
	NewSession func() uint32 // returns a random number other than 0

	version uint64
	byName  map[string]*credit
	byHash  map[uint32]*credit
	credits []*credit // of byHash, in the order of the hashes
	members int       // by which the limits are divided, as far as known
	listed  int       // members that this agent knows
	peak    int       // largest members within shrinkTime
	peakAt  time.Time

	granter        uint64 // 0 for none
	session        uint32
	seq            uint64
	hasAnswer      bool // in this session
	hasDelegated   bool // in this session
	echo           int64
	echoAt         time.Time // when the answer with echo was received
	isFailing      bool      // the last report was not answered
	validUntil     time.Time // of the credit, once hasAnswer
	committedUntil time.Time // until then the agent's part is at a granter's disposal
	lastMajority   time.Time // when a granter with a majority was last followed; from isolationTime on the others may no longer count this agent
	delegateFrom   time.Time // until then an earlier granter may have lent out the agent's part
}

// Start begins the agent's run: an earlier process at the same address may have delegated its part a
// moment ago. The agent does not delegate before it has followed a granter with a majority.
func (s *Share) Start(now time.Time, members int) {
	s.SetMembers(now, members)
	s.delegateFrom = now.Add(leaseTime(s.members) + guardTime(s.members))
}

// Configure sets the limits of a configuration version; an older version than the current one is
// ignored.
func (s *Share) Configure(version uint64, limits map[string]Limit) {
	if version < s.version {
		return
	}
	s.version = version
	byName, byHash := map[string]*credit{}, map[uint32]*credit{}
	lowest := map[uint32]Limit{}
	for name, l := range limits {
		h := tenantHash(name)
		if other, ok := lowest[h]; l.RatePerSecond > 0 && (!ok || l.RatePerSecond < other.RatePerSecond) {
			lowest[h] = l
		}
	}
	for name, l := range limits {
		if l.RatePerSecond <= 0 {
			continue
		}
		h := tenantHash(name)
		c := byHash[h]
		if c == nil {
			c = s.byHash[h]
		}
		if c == nil {
			c = &credit{name: name, hash: h}
		}
		l = lowest[h]
		c.setLimit(l, s.Quota.depth(l), version)
		byName[name], byHash[h] = c, c
	}
	s.byName, s.byHash = byName, byHash
	s.credits = slices.SortedFunc(maps.Values(byHash), func(a, b *credit) int { return cmp.Compare(a.hash, b.hash) })
}

// SetMembers sets the number of members that the agent knows and returns the number by which the
// limits are divided. That falls only with the word of a granter that a majority follows.
func (s *Share) SetMembers(now time.Time, listed int) int {
	s.listed = listed
	s.members = max(1, s.members, listed)
	if s.members >= s.peak || now.Sub(s.peakAt) > shrinkTime {
		s.peak, s.peakAt = s.members, now
	}
	return s.members
}

// Take decides about a request; isRepeated is true if it has been Pending before. With Limited, it
// returns the time until there will be credit.
func (s *Share) Take(now time.Time, tenant string, isRepeated bool) (Admission, time.Duration) {
	c := s.byName[tenant]
	if c == nil {
		return Admitted, 0
	}
	if !isRepeated {
		c.asked++
		c.isDirty = true
	}
	s.expire(now)
	switch {
	case c.held > 0 && s.isUsable(now):
		c.take(now)
		if c.isLow() {
			return AdmittedLow, 0
		}
		return Admitted, 0
	case now.Before(c.deniedUntil):
		return Limited, max(c.refuse(now, s.members), c.deniedUntil.Sub(now))
	}
	return Pending, 0
}

// Refuse returns when there will be credit for a request that was Pending too long.
func (s *Share) Refuse(now time.Time, tenant string) time.Duration {
	c := s.byName[tenant]
	if c == nil {
		return 0
	}
	return c.refuse(now, s.members)
}

// Wait changes the number of requests of a tenant that wait for credit.
func (s *Share) Wait(tenant string, n int64) {
	if c := s.byName[tenant]; c != nil {
		c.waiting += n
		c.isDirty = true
	}
}

// GiveBack returns the credit of a request that has not run.
func (s *Share) GiveBack(now time.Time, tenant string) {
	if c := s.byName[tenant]; c != nil {
		c.giveBack(now)
	}
}

// isUsable reports whether the credit held may be used: between sessions not before the delegation
// to the earlier granter has ended, since that granter counts the agent's part as its own.
func (s *Share) isUsable(now time.Time) bool {
	return s.granter != 0 || !now.Before(s.committedUntil)
}

// expire ends the session when its credit is no longer valid.
func (s *Share) expire(now time.Time) {
	if s.granter != 0 && s.hasAnswer && !now.Before(s.validUntil) {
		s.endSession(s.committedUntil)
	}
}

// endSession keeps of each credit what the agent's own part of the limit may hold.
func (s *Share) endSession(committedUntil time.Time) {
	for _, c := range s.credits {
		c.held = max(0, min(c.held, int64(math.Floor(c.depth/float64(s.members)))))
	}
	if s.hasDelegated {
		s.committedUntil = committedUntil
		s.delegateFrom = committedUntil.Add(guardTime(s.members))
	}
	s.granter, s.session, s.hasAnswer, s.hasDelegated, s.echo, s.isFailing = 0, 0, false, false, 0, false
}

// Follows returns the granter that the agent follows, 0 for none.
func (s *Share) Follows(now time.Time) uint64 {
	s.expire(now)
	return s.granter
}

// IsFailing reports whether the granter has not answered the last report.
func (s *Share) IsFailing() bool { return s.granter != 0 && s.isFailing }

// CanFollow reports whether the agent may begin to follow a granter.
func (s *Share) CanFollow(now time.Time) bool {
	s.expire(now)
	return s.granter == 0 && !now.Before(s.committedUntil)
}

// Follow begins a session with a granter; CanFollow must be true.
func (s *Share) Follow(granter uint64) {
	s.granter, s.session = granter, s.NewSession()
	for _, c := range s.credits {
		c.startSession()
	}
}

// Released ends the session after the granter has answered a report with Release. The guard time
// is left out if no other agent follows the granter, which is then this agent itself.
func (s *Share) Released(now time.Time, isAlone bool) {
	from := s.delegateFrom
	s.endSession(now)
	if isAlone {
		s.delegateFrom = from
	}
}

// Report returns the report to send to the granter now.
func (s *Share) Report(now time.Time, release bool) wire.TenantReport {
	s.seq++
	n := s.members
	r := wire.TenantReport{
		Session: s.session, Seq: s.seq, Echo: s.echo, Version: s.version, Members: uint32(n),
		LeaseMS: uint32(leaseTime(n).Milliseconds()), Start: !s.hasAnswer, Release: release,
		Delegates: s.hasAnswer && !s.isFailing && !release && !now.Before(s.delegateFrom) &&
			now.Before(s.lastMajority.Add(isolationTime-2*leaseTime(n))),
	}
	if r.Delegates {
		s.hasDelegated = true
		// The delegation counts at the granter from the answer that the report echoes.
		if until := s.echoAt.Add(leaseTime(n)); until.After(s.committedUntil) {
			s.committedUntil = until
		}
	}
	for _, c := range s.credits {
		if c.isDirty || (!s.hasAnswer && c.held != 0) {
			r.Credits = append(r.Credits, c.report())
			c.isDirty = false
		}
	}
	return r
}

// NextReport returns when the next report is due: after an interval, or as soon as the agent may
// delegate.
func (s *Share) NextReport(now time.Time) time.Time {
	at := now.Add(reportInterval(s.members))
	if now.Before(s.delegateFrom) && s.delegateFrom.Before(at) {
		return s.delegateFrom
	}
	return at
}

// Failed processes that a report was not answered.
func (s *Share) Failed(r *wire.TenantReport) {
	for _, t := range r.Credits {
		if c := s.byHash[t.Tenant]; c != nil {
			c.isDirty = true
		}
	}
	switch {
	case r.Session != s.session || s.session == 0:
	case s.hasAnswer:
		s.isFailing = true
	default:
		s.endSession(s.committedUntil)
	}
}

// Answered processes the answer to a report that was sent at sentAt.
func (s *Share) Answered(now, sentAt time.Time, r *wire.TenantReport, g *wire.TenantGrants) {
	s.expire(now)
	if r.Session != s.session || s.session == 0 {
		return
	}
	if g.Reset {
		s.endSession(s.committedUntil)
		return
	}
	n := s.members
	s.hasAnswer, s.isFailing, s.echo = true, false, g.Clock
	lease := time.Duration(r.LeaseMS) * time.Millisecond
	s.validUntil = sentAt.Add(lease)
	s.echoAt = now
	if g.Members > 0 {
		s.lastMajority = sentAt
		s.members = max(int(g.Members), s.listed)
	}
	if !now.Before(s.validUntil) {
		s.expire(now)
		return
	}
	for _, c := range s.credits {
		if g.Version >= c.trimVersion {
			c.trimVersion = 0
		}
	}
	for _, t := range g.Grants {
		if c := s.byHash[t.Tenant]; c != nil {
			c.apply(now, t, g.Version, reportInterval(n))
		}
	}
}

// Unlimited returns the tenants that have not been refused for limitedTime after having been
// limited, with the numbers of requests refused meanwhile, and forgets them.
func (s *Share) Unlimited(now time.Time) map[string]int64 {
	var out map[string]int64
	for _, c := range s.credits {
		if c.limitedAt.IsZero() || now.Sub(c.limitedAt) < limitedTime {
			continue
		}
		if out == nil {
			out = map[string]int64{}
		}
		out[c.name] = c.refused
		c.limitedAt, c.refused = time.Time{}, 0
	}
	return out
}

// Begins reports whether the last refusal of a tenant was its first since it was not limited.
func (s *Share) Begins(tenant string) bool {
	c := s.byName[tenant]
	return c != nil && c.refused == 1
}
