package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/document"
)

// explain lists the servers that a call of a route may go to and the one that is best now.
func (c *Core) explain(now time.Time, p *Policy) Explanation {
	x := Explanation{Reason: "no_server", Candidates: []CandidateScore{}}
	for _, name := range c.servicesOf(p) {
		for _, s := range c.services[name].servers {
			x.Candidates = append(x.Candidates, c.score(now, p, c.services[name], s))
		}
	}
	best := -1.0
	for _, ring := range []ChoiceReason{ChoiceLocal, ChoiceRegion, ChoiceAny} {
		for _, s := range x.Candidates {
			if s.Usable && c.within(ring, c.members[s.Member]) && (best < 0 || s.Score < best) {
				x.Choice, x.Reason, best = s.Member, string(ring), s.Score
			}
		}
		if best >= 0 {
			break
		}
	}
	return x
}

func (c *Core) servicesOf(p *Policy) []string {
	out := []string{}
	for _, t := range p.Targets {
		if c.services[t.Service] != nil {
			out = append(out, t.Service)
		}
	}
	if p.Fallback != "" && c.services[p.Fallback] != nil {
		out = append(out, p.Fallback)
	}
	return out
}

func (c *Core) within(r ChoiceReason, s *server) bool {
	switch r {
	case ChoiceLocal:
		return s.Domain == c.domain
	case ChoiceRegion:
		return c.region != "" && s.Region == c.region
	}
	return true
}

func (c *Core) score(now time.Time, p *Policy, svc *service, s *server) CandidateScore {
	busy := s.busy(now, c.Settings.LoadHalfLife)
	why := c.obstacle(now, p, s)
	return CandidateScore{
		Member: s.ID, Service: s.Service, Domain: s.Domain, Usable: why == "", Obstacle: why,
		Score: c.cost(now, svc, s), InFlight: s.inFlight, Free: s.slots() - busy,
		Share: s.share(now, c.Settings.SlowStart),
	}
}

// obstacle names what keeps calls away from a server, empty for nothing.
func (c *Core) obstacle(now time.Time, p *Policy, s *server) string {
	switch {
	case !s.choosable():
		return "leaving"
	case p.Locality == document.LocalityStrict && s.Domain != c.domain:
		return "other_domain"
	case !s.Ready:
		return "not_ready"
	case !s.alive():
		return "suspect"
	case s.isAside(now):
		return "set_aside: " + s.asideWhy
	case s.isUnreachable(now):
		return "unreachable"
	case c.saturated(now, s):
		return "saturated"
	}
	return ""
}
