package dispatch

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/document"
)

// pairDraws is the number of random pairs that are drawn before all servers are compared.
const pairDraws = 3

// choice is a server and why it was chosen.
type choice struct {
	server *server
	reason ChoiceReason
	margin time.Duration // by which its expected latency is below the next best server's, 0 if there is none or it is not computed
}

// chooseServer chooses a server of a service for a call's next attempt, other than those that the call has tried; it reports false if there is none.
func (c *Core) chooseServer(now time.Time, p *Policy, serviceName string, cs *callState) (choice, bool) {
	svc := c.services[serviceName]
	if svc == nil {
		return choice{}, false
	}
	candidates := c.candidates(p, svc, cs)
	if len(candidates) == 0 {
		return choice{}, false
	}
	if c.Settings.Selection != SelectTwoChoices {
		return c.chooseBaseline(svc, candidates), true
	}
	available := slices.DeleteFunc(slices.Clone(candidates), func(srv *server) bool { return !srv.isHealthy() || srv.isEjected(now) || srv.isUnreachable(now) })
	if len(available) == 0 {
		return choice{server: c.chooseLastResort(now, svc, candidates), reason: ChoiceLastResort}, true
	}
	svc.updateMedians(now)
	if ch, ok := c.chooseLocalForLargeTransfer(now, svc, available, cs); ok {
		return ch, true
	}
	if !cs.objective.IsZero() {
		return c.chooseLowestLatency(now, svc, available, cs), true
	}
	highestShare := c.highestSlowStartShare(now, available)
	for _, tier := range c.localityTiers(p, available, cs) {
		if c.skipsTier(now, tier, highestShare) {
			continue
		}
		if srv := c.pickUnsaturated(now, svc, tier.servers); srv != nil {
			return choice{server: srv, reason: tier.reason}, true
		}
	}
	return c.chooseLeastCost(now, svc, available), true
}

// chooseLocalForLargeTransfer chooses, for a call with a large body or answer, the server of this failure domain with the lowest expected latency, among those that are expected to meet the call's objective if it has one; ok is false if neither is large or no server qualifies.
func (c *Core) chooseLocalForLargeTransfer(now time.Time, svc *service, servers []*server, cs *callState) (ch choice, ok bool) {
	if !cs.hasLargeTransfer() {
		return choice{}, false
	}
	local := slices.DeleteFunc(slices.Clone(servers), func(srv *server) bool {
		return srv.Domain != c.domain || !c.isInTime(now, cs, choice{server: srv, reason: ChoiceLocal})
	})
	if len(local) == 0 {
		return choice{}, false
	}
	return c.chooseLowestLatency(now, svc, local, cs), true
}

// skipsTier reports whether a tier is skipped for this call. If other available servers are further on in slow start, the tier is skipped at random, so that its servers receive only their share of calls.
func (c *Core) skipsTier(now time.Time, t tier, highestShare float64) bool {
	share := c.highestSlowStartShare(now, t.servers)
	return share < highestShare && c.Rand.Float64() > share/highestShare
}

// highestSlowStartShare returns the highest slow-start share of the servers.
func (c *Core) highestSlowStartShare(now time.Time, servers []*server) float64 {
	highest := 0.0
	for _, srv := range servers {
		highest = max(highest, srv.slowStartShare(now, c.Settings.SlowStart))
	}
	return highest
}

// candidates returns the servers that may be chosen for a call's next attempt.
func (c *Core) candidates(p *Policy, svc *service, cs *callState) []*server {
	out := make([]*server, 0, len(svc.servers))
	for _, srv := range svc.servers {
		if c.allowsVersion(srv, cs) && c.isCandidate(p, srv, cs) {
			out = append(out, srv)
		}
	}
	return out
}

// hasCandidate reports whether there is a server, of any version, that may be chosen.
func (c *Core) hasCandidate(p *Policy, svc *service, cs *callState) bool {
	return slices.ContainsFunc(svc.servers, func(srv *server) bool { return c.isCandidate(p, srv, cs) })
}

func (c *Core) isCandidate(p *Policy, srv *server, cs *callState) bool {
	return srv.isEligible() && srv.takesCall(p) && !cs.hasTried(srv) && (p.Locality != document.LocalityStrict || srv.Domain == c.domain)
}

// tier is a set of servers that is preferred to the servers outside it.
type tier struct {
	servers []*server
	reason  ChoiceReason
}

// localityTiers returns the tiers in order of preference: the failure domain, the region, all servers. A further attempt first prefers failure domains that the call has not tried. With locality any, all servers are one tier.
func (c *Core) localityTiers(p *Policy, all []*server, cs *callState) []tier {
	if p.Locality == document.LocalityAny {
		return []tier{{all, ChoiceAny}}
	}
	domain, region, untried := []*server{}, []*server{}, []*server{}
	for _, srv := range all {
		if srv.Domain == c.domain {
			domain = append(domain, srv)
		}
		if srv.Domain == c.domain || (c.region != "" && srv.Region == c.region) {
			region = append(region, srv)
		}
		if !cs.hasTriedDomain(srv.Domain) {
			untried = append(untried, srv)
		}
	}
	out := []tier{{domain, ChoiceLocal}, {region, ChoiceRegion}, {all, ChoiceAny}}
	if len(cs.attempts) > 0 {
		out = append([]tier{{untried, ChoiceOtherDomain}}, out...)
	}
	return out
}

// pickUnsaturated picks the better of two random servers (power of two choices). If the picked one is saturated in each of pairDraws draws, it returns the unsaturated server with the lowest cost, nil if there is none.
func (c *Core) pickUnsaturated(now time.Time, svc *service, servers []*server) *server {
	if len(servers) == 0 {
		return nil
	}
	for range pairDraws {
		a, b := c.drawPair(len(servers))
		srv := c.applySlowStart(now, svc, c.cheaper(now, svc, servers[a], servers[b]), servers[a], servers[b])
		if !c.isSaturated(now, srv) {
			return srv
		}
	}
	var best *server
	for _, srv := range servers {
		if !c.isSaturated(now, srv) {
			best = c.cheaper(now, svc, best, srv)
		}
	}
	return best
}

// drawPair draws two different indexes below n, twice index 0 if n is 1.
func (c *Core) drawPair(n int) (int, int) {
	if n == 1 {
		return 0, 0
	}
	a, b := c.Rand.IntN(n), c.Rand.IntN(n-1)
	if b >= a {
		b++
	}
	return a, b
}

// applySlowStart returns the better server of a pair, best, or at random the other one if that is further on in slow start, so that best receives only its slow-start share of calls.
//
// The other one is not returned if the ratio of its cost to that of best exceeds the ratio of their slow-start shares.
func (c *Core) applySlowStart(now time.Time, svc *service, best, a, b *server) *server {
	other := a
	if best == a {
		other = b
	}
	share := best.slowStartShare(now, c.Settings.SlowStart) / other.slowStartShare(now, c.Settings.SlowStart)
	if share >= 1 || c.Rand.Float64() < share {
		return best
	}
	if c.cost(now, svc, other) > c.cost(now, svc, best)/share {
		return best
	}
	return other
}

// cheaper returns the server with the lower cost; nil stands for no server.
func (c *Core) cheaper(now time.Time, svc *service, a, b *server) *server {
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

func (c *Core) cost(now time.Time, svc *service, srv *server) float64 {
	return srv.cost(now, c.Settings.LoadHalfLife, svc.mediansOf(srv).latency)
}

func (c *Core) isSaturated(now time.Time, srv *server) bool {
	return srv.isSaturated(now, c.Settings.LoadHalfLife)
}

// chooseLeastCost chooses the server with the lowest cost, for when no tier has an unsaturated server.
func (c *Core) chooseLeastCost(now time.Time, svc *service, servers []*server) choice {
	best := choice{reason: ChoiceSaturated}
	for _, srv := range servers {
		best.server = c.cheaper(now, svc, best.server, srv)
	}
	if !c.isSaturated(now, best.server) {
		best.reason = ChoiceAny
	}
	return best
}

// chooseLastResort chooses among servers that are ejected, unreachable, suspect or not ready: first those that are alive, ready and reachable, then unreachable ones, then suspect ones that are ready, then the rest; among equal ones by cost.
func (c *Core) chooseLastResort(now time.Time, svc *service, servers []*server) *server {
	rank := func(srv *server) int {
		switch {
		case srv.isHealthy() && !srv.isUnreachable(now):
			return 0
		case srv.isHealthy():
			return 1
		case srv.Ready:
			return 2
		}
		return 3
	}
	var best *server
	for _, srv := range servers {
		if best == nil || rank(srv) < rank(best) {
			best = srv
		} else if rank(srv) == rank(best) {
			best = c.cheaper(now, svc, best, srv)
		}
	}
	return best
}

// chooseBaseline chooses by one of the baseline selections, which serve for comparison in measurements.
func (c *Core) chooseBaseline(svc *service, candidates []*server) choice {
	healthy := slices.DeleteFunc(slices.Clone(candidates), func(srv *server) bool { return !srv.isHealthy() })
	if len(healthy) == 0 {
		healthy = candidates
	}
	svc.roundRobinCounter++
	best := healthy[svc.roundRobinCounter%len(healthy)]
	if c.Settings.Selection == SelectLeastInFlight {
		for _, srv := range healthy {
			if srv.inFlight < best.inFlight {
				best = srv
			}
		}
	}
	return choice{server: best, reason: ChoiceBaseline}
}
