package dispatch

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/document"
)

const pickTries = 3

// choice is a server and why it was chosen.
type choice struct {
	server *server
	reason ChoiceReason
	lead   time.Duration // by which the server is expected to be sooner than the next best, 0 where there is none
}

// choose returns the server for a call's next attempt, none that it has tried; ok is false when there is none.
func (c *Core) choose(now time.Time, p *Policy, name string, s *callState) (choice, bool) {
	svc := c.services[name]
	if svc == nil {
		return choice{}, false
	}
	pool := c.candidates(p, svc, s)
	if len(pool) == 0 {
		return choice{}, false
	}
	if c.Settings.Selection != SelectTwoChoices {
		return c.chooseBaseline(svc, pool), true
	}
	good := slices.DeleteFunc(slices.Clone(pool), func(x *server) bool { return !x.alive() || x.isAside(now) || x.isUnreachable(now) })
	if len(good) == 0 {
		return choice{server: c.leastBad(now, svc, pool), reason: ChoiceLastResort}, true
	}
	svc.updateMedians(now)
	if ch, ok := c.nearEnough(now, svc, good, s); ok {
		return ch, true
	}
	if !s.objective.IsZero() {
		return c.soonest(now, svc, good, s), true
	}
	warmest := c.maxShare(now, good)
	for _, ring := range c.rings(p, good, s) {
		if c.skips(now, ring, warmest) {
			continue
		}
		if s := c.pickFree(now, svc, ring.servers); s != nil {
			return choice{server: s, reason: ring.reason}, true
		}
	}
	return c.chooseCrowded(now, svc, good), true
}

// nearEnough chooses among the servers of this failure domain that are expected to answer a call with a bulky body in time; ok is false when there is none.
func (c *Core) nearEnough(now time.Time, svc *service, servers []*server, s *callState) (ch choice, ok bool) {
	if !s.bulky() {
		return choice{}, false
	}
	near := slices.DeleteFunc(slices.Clone(servers), func(x *server) bool {
		return x.Domain != c.domain || !c.inTime(now, s, choice{server: x, reason: ChoiceLocal})
	})
	if len(near) == 0 {
		return choice{}, false
	}
	return c.soonest(now, svc, near, s), true
}

// skips tells whether a ring of cold servers only is passed over this time.
func (c *Core) skips(now time.Time, r ring, warmest float64) bool {
	share := c.maxShare(now, r.servers)
	return share < warmest && c.Rand.Float64() > share/warmest
}

func (c *Core) maxShare(now time.Time, servers []*server) float64 {
	most := 0.0
	for _, s := range servers {
		most = max(most, s.share(now, c.Settings.SlowStart))
	}
	return most
}

// candidates returns the servers that may be chosen at all.
func (c *Core) candidates(p *Policy, svc *service, s *callState) []*server {
	out := make([]*server, 0, len(svc.servers))
	for _, x := range svc.servers {
		if c.isCandidate(p, x, s) {
			out = append(out, x)
		}
	}
	return out
}

// hasCandidate tells whether there is a server that may be chosen.
func (c *Core) hasCandidate(p *Policy, svc *service, s *callState) bool {
	return slices.ContainsFunc(svc.servers, func(x *server) bool { return c.isCandidate(p, x, s) })
}

func (c *Core) isCandidate(p *Policy, x *server, s *callState) bool {
	return x.choosable() && !s.tried(x) && (p.Locality != document.LocalityStrict || x.Domain == c.domain)
}

// ring is a set of servers that is preferred to those beyond it.
type ring struct {
	servers []*server
	reason  ChoiceReason
}

// rings returns ever wider sets of servers: the failure domain, the region, all. A further attempt first looks outside the failure domains that have failed it.
func (c *Core) rings(p *Policy, all []*server, s *callState) []ring {
	if p.Locality == document.LocalityAny {
		return []ring{{all, ChoiceAny}}
	}
	domain, region, untried := []*server{}, []*server{}, []*server{}
	for _, x := range all {
		if x.Domain == c.domain {
			domain = append(domain, x)
		}
		if x.Domain == c.domain || (c.region != "" && x.Region == c.region) {
			region = append(region, x)
		}
		if !s.triedDomain(x.Domain) {
			untried = append(untried, x)
		}
	}
	out := []ring{{domain, ChoiceLocal}, {region, ChoiceRegion}, {all, ChoiceAny}}
	if len(s.attempts) > 0 {
		out = append([]ring{{untried, ChoiceOtherDomain}}, out...)
	}
	return out
}

// pickFree returns the better of two random servers, or the best one when both lack a free slot; nil when none has one.
func (c *Core) pickFree(now time.Time, svc *service, servers []*server) *server {
	if len(servers) == 0 {
		return nil
	}
	for range pickTries {
		a, b := c.pair(len(servers))
		s := c.warmer(now, svc, c.better(now, svc, servers[a], servers[b]), servers[a], servers[b])
		if !c.saturated(now, s) {
			return s
		}
	}
	var best *server
	for _, s := range servers {
		if !c.saturated(now, s) {
			best = c.better(now, svc, best, s)
		}
	}
	return best
}

// pair draws two different indexes below n, or the same one when there is no other.
func (c *Core) pair(n int) (int, int) {
	if n == 1 {
		return 0, 0
	}
	a, b := c.Rand.IntN(n), c.Rand.IntN(n-1)
	if b >= a {
		b++
	}
	return a, b
}

// warmer returns the best of a pair, or the other one when the best is colder and not yet due for a call.
//
// The other one is not taken when it is worse by more than the best is colder.
func (c *Core) warmer(now time.Time, svc *service, best, a, b *server) *server {
	other := a
	if best == a {
		other = b
	}
	share := best.share(now, c.Settings.SlowStart) / other.share(now, c.Settings.SlowStart)
	if share >= 1 || c.Rand.Float64() < share {
		return best
	}
	if c.cost(now, svc, other) > c.cost(now, svc, best)/share {
		return best
	}
	return other
}

func (c *Core) better(now time.Time, svc *service, a, b *server) *server {
	if a == nil || b == nil {
		if a == nil {
			return b
		}
		return a
	}
	if c.cost(now, svc, b) < c.cost(now, svc, a) {
		return b
	}
	return a
}

func (c *Core) cost(now time.Time, svc *service, s *server) float64 {
	return s.cost(now, c.Settings.LoadHalfLife, svc.medianLatency)
}

func (c *Core) saturated(now time.Time, s *server) bool {
	return s.saturated(now, c.Settings.LoadHalfLife)
}

// chooseCrowded chooses when no server can take its usual share: the one expected to answer soonest.
func (c *Core) chooseCrowded(now time.Time, svc *service, servers []*server) choice {
	best := choice{reason: ChoiceSaturated}
	for _, s := range servers {
		best.server = c.better(now, svc, best.server, s)
	}
	if !c.saturated(now, best.server) {
		best.reason = ChoiceAny
	}
	return best
}

// leastBad chooses among servers that are set aside, unreachable, suspect or not ready.
func (c *Core) leastBad(now time.Time, svc *service, servers []*server) *server {
	rank := func(s *server) int {
		switch {
		case s.alive() && !s.isUnreachable(now):
			return 0
		case s.alive():
			return 1
		case s.Ready:
			return 2
		}
		return 3
	}
	var best *server
	for _, s := range servers {
		if best == nil || rank(s) < rank(best) {
			best = s
		} else if rank(s) == rank(best) {
			best = c.better(now, svc, best, s)
		}
	}
	return best
}

// chooseBaseline chooses by one of the selections that measurements compare with.
func (c *Core) chooseBaseline(svc *service, pool []*server) choice {
	usable := slices.DeleteFunc(slices.Clone(pool), func(s *server) bool { return !s.alive() })
	if len(usable) == 0 {
		usable = pool
	}
	svc.turn++
	best := usable[svc.turn%len(usable)]
	if c.Settings.Selection == SelectLeastInFlight {
		for _, s := range usable {
			if s.inFlight < best.inFlight {
				best = s
			}
		}
	}
	return choice{server: best, reason: ChoiceBaseline}
}
