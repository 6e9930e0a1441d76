package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	bulkySize   = 16 << 10 // bytes of a request body beyond which it is kept in its failure domain where it can be in time there
	calmLoad    = 0.75     // of the slots; beyond it a call is likely to wait or to be slowed down
	crowdedCost = 0.5      // of the service time, at all slots in use
	domainCost  = 0.2      // of the service time, for a server in another failure domain
	regionCost  = 0.5      // for one in another region
	domainDelay = 3 * time.Millisecond
	busyFade    = time.Second           // half-life of what a server told of the calls of others
	maxLooks    = 2                     // servers that a call leaves again because another may be sooner
	lookCost    = 15 * time.Millisecond // of a further look: to the next server and back, also over thin links
	waitSlack   = 1.5                   // times the wait that a server has told, which is a guess
	spreadCost  = 0.1                   // of the cost, at random, so that daemons that know the same do not all choose the same
)

// soonest returns the server that is expected to answer a call first.
func (c *Core) soonest(now time.Time, svc *service, servers []*server, s *callState) choice {
	usual := usualService(servers, s.policy.Route)
	var best *server
	least, second := math.Inf(1), math.Inf(1)
	for _, x := range servers {
		cost := c.expected(now, svc, x, s, usual) * (1 + spreadCost*c.Rand.Float64())
		switch {
		case cost < least:
			best, least, second = x, cost, least
		case cost < second:
			second = cost
		}
	}
	lead := time.Duration(0)
	if len(servers) > 1 {
		lead = time.Duration((second - least) * float64(time.Second))
	}
	reason := ChoiceAny
	switch {
	case best.busy(now, c.Settings.LoadHalfLife)+1 > best.slots():
		reason = ChoiceSaturated
	case best.Domain == c.domain:
		reason = ChoiceLocal
	case c.region != "" && best.Region == c.region:
		reason = ChoiceRegion
	}
	return choice{server: best, reason: reason, lead: lead}
}

// expected returns the time until a server's answer in seconds, with what is to be expected of its errors and distance.
func (c *Core) expected(now time.Time, svc *service, x *server, s *callState, usual time.Duration) float64 {
	service := x.services[s.policy.Route]
	if service == 0 {
		service = usual
	}
	t := service.Seconds()
	load := (x.busy(now, c.Settings.LoadHalfLife) + 1) / x.slots()
	cost := t * (1 + crowdedCost*max(0, min(load, 1)-calmLoad)/(1-calmLoad))
	cost += x.wait(now, s.policy.Route).Seconds()
	cost += c.carry(x, s).Seconds()
	if x.Domain != c.domain {
		far := domainCost
		if x.Region != c.region {
			far = regionCost
		}
		cost += far*t + domainDelay.Seconds()
	}
	cost *= 2 - x.share(now, c.Settings.SlowStart)
	return cost * (1 + x.errors(now) + x.lateness(now, svc.medianLatency))
}

// patience returns how long a call may wait for a slot before it is better off at another server: what is known of the servers is old where each daemon calls one seldom.
func (c *Core) patience(now time.Time, s *callState, ch choice) time.Duration {
	if s.final || s.objective.IsZero() || ch.lead == 0 || s.bulky() && ch.server.ID == c.self || len(s.attempts) >= maxLooks {
		return 0
	}
	return lookCost + ch.lead + time.Duration(waitSlack*float64(ch.server.wait(now, s.policy.Route)))
}

// carry returns how long a call's body is on the way to a server: it leaves over this VM's link and arrives over the server's, unless both are the same VM.
func (c *Core) carry(x *server, s *callState) time.Duration {
	if x.ID == c.self || c.Settings.LinkRate <= 0 {
		return 0
	}
	n := s.body
	if n < 0 {
		n = bulkySize
	}
	return time.Duration(2 * float64(n) / c.Settings.LinkRate * float64(time.Second))
}

// usualService returns the median service time of a route over the servers that have told one.
func usualService(servers []*server, route string) time.Duration {
	known := make([]time.Duration, 0, len(servers))
	for _, x := range servers {
		if d := x.services[route]; d > 0 {
			known = append(known, d)
		}
	}
	if len(known) == 0 {
		return time.Millisecond
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// wait returns how long a call would wait for a slot: what the server told, less the time since, and the calls sent there since.
func (s *server) wait(now time.Time, route string) time.Duration {
	told := s.backlog(now)
	since := max(0, s.inFlight-s.ownAtLoad)
	if over := s.busy(now, busyFade) + 1 - s.slots(); over > 0 && since > 0 {
		told += time.Duration(min(over, float64(since)) / s.slots() * float64(s.services[route]))
	}
	return told
}
