package tenants

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	spreadFactor  = 1.25                   // of the reserve, above which agents get a credit without any demand
	stockTime     = 2.6                    // leases whose demand an agent's stock is to cover: about the time without a granter when one is lost
	minExpected   = 0.1                    // requests expected, below which an agent needs no stock
	shareInterval = 25 * time.Millisecond  // between two counts of the agents that delegate
	unknownRetry  = 100 * time.Millisecond // told to agents of which a tenant is not known here
	maxRetry      = 5 * time.Second
)

// Allocator is the granter's core: it issues credit to the agents that follow it. Each of N members
// owns 1/N of all limits and delegates it to the granter that it follows, so the granters of a
// partition divide the limits between them. It does no I/O and is not safe for concurrent use.
type Allocator struct {
	Quota Quota

	version    uint64
	pools      map[uint32]*pool
	hashes     []uint32 // of pools, sorted
	borrowers  map[uint64]*borrower
	count      memberCount
	departed   map[uint64]time.Time // members that have said that they stop for good; they may be listed for a while
	listed     int                  // members that this agent knows
	peak       int                  // largest number that divided the limits within shrinkTime
	share      float64
	joined     float64 // share of the members that follow, delegating or not
	delegating int
	sharedAt   time.Time
}

// Configure sets the limits of a configuration version; an older version than the current one is
// ignored. Limits without a rate are left out.
func (a *Allocator) Configure(version uint64, limits map[string]Limit) {
	if version < a.version {
		return
	}
	a.version = version
	byHash := map[uint32]Limit{}
	for name, l := range limits {
		if l.RatePerSecond <= 0 {
			continue
		}
		h := tenantHash(name)
		if other, ok := byHash[h]; ok && other.RatePerSecond < l.RatePerSecond {
			l = other
		}
		byHash[h] = l
	}
	if a.pools == nil {
		a.pools = map[uint32]*pool{}
	}
	maps.DeleteFunc(a.pools, func(h uint32, _ *pool) bool { _, ok := byHash[h]; return !ok })
	for h, l := range byHash {
		p := a.pools[h]
		if p == nil {
			p = &pool{}
			for _, b := range a.borrowers {
				if loan := b.loans[h]; loan != nil {
					p.outstanding += loan.outstanding()
				}
			}
			a.pools[h] = p
		}
		p.limit, p.depth = l, a.Quota.depth(l)
		p.trim(a.joined)
	}
	a.hashes = slices.Sorted(maps.Keys(a.pools))
}

// SetMembers sets the number of members that this agent knows, and the number by which the granters
// that it has followed have divided the limits, now and at most within shrinkTime.
func (a *Allocator) SetMembers(now time.Time, listed, known, peak int) {
	a.listed, a.peak = listed, peak
	if len(a.borrowers) == 0 {
		a.count = memberCount{n: known}
	}
	a.updateShare(now)
}

// depart records that a member has stopped for good: it uses its part no more, so the number of
// members falls at once, other than for one that has only disappeared.
func (a *Allocator) depart(now time.Time, id uint64) {
	if a.HasDeparted(id) {
		return
	}
	if a.departed == nil {
		a.departed = map[uint64]time.Time{}
	}
	maps.DeleteFunc(a.departed, func(_ uint64, at time.Time) bool { return now.Sub(at) > shrinkTime })
	a.departed[id] = now
	a.listed = max(1, a.listed-1)
	a.count.n = max(1, a.count.n-1)
}

// HasDeparted reports whether a member has said that it stops for good.
func (a *Allocator) HasDeparted(id uint64) bool {
	_, ok := a.departed[id]
	return ok
}

// IsFollowed reports whether any agent other than self follows this granter.
func (a *Allocator) IsFollowed(self uint64) bool {
	n := len(a.borrowers)
	if a.borrowers[self] != nil {
		n--
	}
	return n > 0
}

// Report processes an agent's report and returns the answer.
func (a *Allocator) Report(now time.Time, from uint64, r *wire.TenantReport) wire.TenantGrants {
	if a.borrowers == nil {
		a.borrowers = map[uint64]*borrower{}
	}
	a.expire(now)
	answer := wire.TenantGrants{Clock: now.UnixNano(), Version: a.version, Members: a.majority()}
	if r.Session == 0 {
		return answer
	}
	b := a.borrowers[from]
	if b != nil && r.Seq <= b.seq {
		return answer // was overtaken by a later report
	}
	if b != nil && b.session != r.Session {
		a.remove(from)
		b = nil
	}
	if r.Release {
		if b != nil && r.Leaves {
			a.depart(now, from)
		}
		a.remove(from)
		a.updateShare(now)
		return answer
	}
	if b == nil {
		if !r.Start {
			answer.Reset = true
			return answer
		}
		a.count.n = max(a.count.n, int(r.Members))
		b = &borrower{session: r.Session, loans: map[uint32]*loan{}}
		a.borrowers[from] = b
		a.updateShare(now)
	}
	wasDelegating := now.Before(b.delegatesUntil)
	lease := min(time.Duration(r.LeaseMS)*time.Millisecond, leaseTime(math.MaxInt32))
	b.seq = r.Seq
	b.expiresAt = now.Add(lease + clockMargin)
	if echo := time.Unix(0, r.Echo); r.Delegates && r.Echo != 0 && !echo.After(now) {
		if until := echo.Add(lease - clockMargin); until.After(b.delegatesUntil) {
			b.delegatesUntil = until
		}
	}
	received := r.Echo == b.answeredAt
	if !wasDelegating && now.Before(b.delegatesUntil) {
		a.updateShare(now)
	}
	a.takeOver(now, b, r, &answer)
	a.answerLoans(now, b, r, received, lease, &answer)
	b.answeredAt = answer.Clock
	answer.Members = a.majority()
	return answer
}

// takeOver updates an agent's loans from its report.
func (a *Allocator) takeOver(now time.Time, b *borrower, r *wire.TenantReport, answer *wire.TenantGrants) {
	for _, c := range r.Credits {
		l := b.loans[c.Tenant]
		if l == nil {
			l = &loan{issued: c.Carried, at: now}
			b.loans[c.Tenant] = l
			if p := a.pools[c.Tenant]; p != nil {
				p.outstanding += c.Carried
			}
		}
		before, returned := l.outstanding(), l.returned
		l.update(now, c)
		p := a.pools[c.Tenant]
		if p == nil {
			if c.Waiting > 0 {
				answer.Grants = append(answer.Grants, wire.TenantGrant{Tenant: c.Tenant, Issued: l.issued, RetryMS: unknownRetry.Milliseconds()})
			}
			continue
		}
		p.refill(now, a.share, a.joined)
		p.outstanding += l.outstanding() - before
		p.level += float64(max(0, l.returned-returned))
		p.trim(a.joined)
	}
}

// answerLoans issues credit by demand and adds what the agent has to know.
func (a *Allocator) answerLoans(now time.Time, b *borrower, r *wire.TenantReport, received bool, lease time.Duration, answer *wire.TenantGrants) {
	waiting := map[uint32]int64{}
	for _, c := range r.Credits {
		if c.Waiting > 0 {
			waiting[c.Tenant] = c.Waiting
		}
	}
	for _, h := range a.hashes {
		p := a.pools[h]
		p.refill(now, a.share, a.joined)
		l := b.loans[h]
		if l == nil {
			if p.level <= p.reserve(a.share)*spreadFactor {
				continue
			}
			l = &loan{at: now}
			b.loans[h] = l
		}
		l.decay(now)
		issued := l.issued
		g := wire.TenantGrant{Tenant: h}
		got := int64(0)
		if n := waiting[h]; n > 0 {
			got = p.take(n)
			l.issued += got
			p.outstanding += got
			if got < n {
				g.RetryMS = a.retry(p).Milliseconds()
			}
		}
		g.Return = a.balance(p, l, got, lease)
		g.Issued = l.issued
		if !received || l.issued != issued || g.Return > 0 || g.RetryMS > 0 {
			answer.Grants = append(answer.Grants, g)
		}
	}
}

// balance raises an agent's stock towards what its demand needs, or returns what it is to give back.
// Used is credit for requests that wait.
func (a *Allocator) balance(p *pool, l *loan, used int64, lease time.Duration) int64 {
	reserve := p.reserve(a.share)
	held := l.outstanding() - used
	next := int64(math.Round(l.rate * lease.Seconds() / leaseReports)) // until the next report
	target := next
	if p.level > reserve {
		target = max(target, stockFor(l.rate*lease.Seconds()*stockTime))
	}
	if p.level > reserve*spreadFactor {
		target = max(target, 1)
	}
	excess := p.excess(held, a.joined)
	switch {
	case excess > 0:
		return excess
	case held < (4*target+1)/5:
		n := target - held
		if p.level > reserve {
			n = min(n, int64(p.level-reserve)+1)
		}
		n = p.take(n)
		l.issued += n
		p.outstanding += n
	case held > 2*target+1:
		return held - target - 1
	case p.level < reserve*0.8 && held > next+min(next, 1):
		return held - next - min(next, 1)
	}
	return 0
}

// stockFor returns the whole credits to hold for an expected number of requests.
func stockFor(expected float64) int64 {
	if expected < minExpected {
		return 0
	}
	return int64(math.Ceil(expected))
}

// retry returns the time until there may be credit.
func (a *Allocator) retry(p *pool) time.Duration {
	rate := p.limit.RatePerSecond * a.share
	if rate <= 0 {
		return maxRetry
	}
	return min(max(time.Millisecond, time.Duration((1-p.level)/rate*float64(time.Second))), maxRetry)
}

// expire removes the agents whose credit has expired.
func (a *Allocator) expire(now time.Time) {
	if now.Sub(a.sharedAt) < shareInterval {
		return
	}
	for id, b := range a.borrowers {
		if !now.Before(b.expiresAt) {
			a.remove(id)
		}
	}
	a.updateShare(now)
}

// remove ends an agent's session; its credit is no longer outstanding.
func (a *Allocator) remove(id uint64) {
	b := a.borrowers[id]
	if b == nil {
		return
	}
	for h, l := range b.loans {
		if p := a.pools[h]; p != nil {
			p.outstanding -= l.outstanding()
		}
	}
	delete(a.borrowers, id)
}

// updateShare counts the agents that delegate. Credit created until now counts by the lower of the
// shares before and after.
func (a *Allocator) updateShare(now time.Time) {
	delegating := 0
	for _, b := range a.borrowers {
		if now.Before(b.delegatesUntil) {
			delegating++
		}
	}
	n := a.count.update(now, max(a.listed, len(a.borrowers)), len(a.borrowers)) // an agent that the store refuses is not listed
	others := float64(len(a.borrowers)-delegating) * a.Quota.fixedPart()
	divisor := float64(n)
	if 2*len(a.borrowers) <= n {
		// The number may have fallen before a partition whose other side does not know it.
		divisor = float64(max(n, a.peak))
	}
	share := min(1, (float64(delegating)+others)/divisor)
	a.joined = min(1, float64(len(a.borrowers))/divisor)
	if share != a.share {
		for _, p := range a.pools {
			p.refill(now, min(share, a.share), a.joined)
		}
		a.share = share
	}
	a.delegating, a.sharedAt = delegating, now
}

// majority returns the number of members if a majority of them follows, otherwise 0.
func (a *Allocator) majority() uint32 {
	if 2*len(a.borrowers) <= a.count.n {
		return 0
	}
	return uint32(a.count.n)
}

// Delegating returns the number of members that delegate to this granter.
func (a *Allocator) Delegating() int { return a.delegating }
