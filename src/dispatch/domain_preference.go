package dispatch

import "time"

const (
	domainGainShare = 0.5 // of the time left until a call's objective: an answer from another failure domain must be expected earlier by this much, if one from the own domain is expected in time
	inTimeFactor    = 1.5 // an answer counts as expected in time if it may take this many times as long, since expected latencies are only estimates
)

// otherDomainPenalty returns what is added, in seconds, to the expected latencies of servers of other failure domains, given the lowest one in the own domain, 0 for no server there.
//
// With PreferDomain, a call stays in its failure domain while an answer is expected in time there. It leaves it for an answer that comes earlier by domainGainShare of the time left, or for any earlier one if the own domain is not expected to be in time. Each server of the domain that has refused the call lowers that gain, since what the agent knew of the domain was too good; an attempt whose wait is not bounded goes wherever the answer is expected first.
func (c *Core) otherDomainPenalty(now time.Time, cs *callState, lowestInDomain float64) float64 {
	left := cs.objective.Sub(now).Seconds()
	if len(cs.attempts) >= boundedWaitAttempts || !c.prefersDomain() || lowestInDomain == 0 || inTimeFactor*lowestInDomain > left {
		return 0
	}
	return domainGainShare * left / float64(1+len(cs.attempts))
}

// prefersDomain reports whether calls stay in their failure domain while an answer is expected in
// time there: by the settings, or since backend servers report the speed of VMs that they share
// with others, whose links the calls share too.
func (c *Core) prefersDomain() bool { return c.Settings.PreferDomain || c.sharedVMs }

// lowestLatencyInDomain returns the lowest of the expected latencies of the servers in the own failure domain, 0 if there is none.
func (c *Core) lowestLatencyInDomain(servers []*server, latencies []float64) float64 {
	lowest := 0.0
	for i, srv := range servers {
		if srv.Domain == c.domain && (lowest == 0 || latencies[i] < lowest) {
			lowest = latencies[i]
		}
	}
	return lowest
}

// expectedLatencies returns the expected latency of each server in seconds, with otherDomainPenalty. The result is valid until the next call.
func (c *Core) expectedLatencies(now time.Time, svc *service, servers []*server, cs *callState) []float64 {
	defaultServiceTime := medianServiceTime(servers, cs.policy.Route)
	c.latencies = c.latencies[:0]
	for _, srv := range servers {
		c.latencies = append(c.latencies, c.expectedLatency(now, svc, srv, cs, defaultServiceTime))
	}
	penalty := c.otherDomainPenalty(now, cs, c.lowestLatencyInDomain(servers, c.latencies))
	for i, srv := range servers {
		if srv.Domain != c.domain {
			c.latencies[i] += penalty
		}
	}
	return c.latencies
}
