package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/document"
)

// explain returns the servers of a route's targets and fallback with their scores, and the usable one with the lowest score in the nearest locality tier that has one.
func (c *Core) explain(now time.Time, p *Policy) Explanation {
	out := Explanation{Reason: "no_server", Candidates: []CandidateScore{}}
	for _, name := range c.routeServices(p) {
		for _, srv := range c.services[name].servers {
			out.Candidates = append(out.Candidates, c.scoreCandidate(now, p, c.services[name], srv))
		}
	}
	best := -1.0
	for _, tier := range []ChoiceReason{ChoiceLocal, ChoiceRegion, ChoiceAny} {
		for _, candidate := range out.Candidates {
			if candidate.Usable && c.isWithin(tier, c.members[candidate.Member]) && (best < 0 || candidate.Score < best) {
				out.Choice, out.Reason, best = candidate.Member, string(tier), candidate.Score
			}
		}
		if best >= 0 {
			break
		}
	}
	return out
}

// routeServices returns the route's targets and its fallback that have members.
func (c *Core) routeServices(p *Policy) []string {
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

// isWithin reports whether a server belongs to a locality tier.
func (c *Core) isWithin(tier ChoiceReason, srv *server) bool {
	switch tier {
	case ChoiceLocal:
		return srv.Domain == c.domain
	case ChoiceRegion:
		return c.region != "" && srv.Region == c.region
	}
	return true
}

func (c *Core) scoreCandidate(now time.Time, p *Policy, svc *service, srv *server) CandidateScore {
	busySlots := srv.busySlots(now, c.Settings.LoadHalfLife)
	obstacle := c.obstacle(now, p, srv)
	return CandidateScore{
		Member: srv.ID, Service: srv.Service, Domain: srv.Domain, Usable: obstacle == "", Obstacle: obstacle,
		Score: c.cost(now, svc, srv), InFlight: srv.inFlight, Free: srv.slotCount() - busySlots,
		Share: srv.slowStartShare(now, c.Settings.SlowStart),
	}
}

// obstacle names the reason why calls are not sent to a server, empty if there is none; "leaving" also stands for dead and departed, "set_aside" for ejected.
func (c *Core) obstacle(now time.Time, p *Policy, srv *server) string {
	switch {
	case !srv.isEligible():
		return "leaving"
	case p.Locality == document.LocalityStrict && srv.Domain != c.domain:
		return "other_domain"
	case !srv.Ready:
		return "not_ready"
	case !srv.isHealthy():
		return "suspect"
	case srv.isEjected(now):
		return "set_aside: " + srv.ejectionReason
	case srv.isUnreachable(now):
		return "unreachable"
	case c.isSaturated(now, srv):
		return "saturated"
	}
	return ""
}
