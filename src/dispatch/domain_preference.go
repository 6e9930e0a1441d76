package dispatch

import "time"

const (
	domainGainShare = 0.5 // of the time left until a call's objective: an answer from another failure domain must be expected earlier by this much, if one from the own domain is expected in time
	spareWaitShare  = 0.5 // of the time left after the expected answer that a call may wait in a queue instead of trying another server
	inTimeFactor    = 1.5 // an answer counts as expected in time if it may take this many times as long, since expected latencies are only estimates
)

// otherDomainPenalty returns what is added, in seconds, to the expected latencies of servers of
// other failure domains, given the lowest one in the own domain, 0 for no server there.
//
// With PreferDomain, a call stays in its failure domain while an answer is expected in time there.
// It leaves it for an answer that comes earlier by domainGainShare of the time left, or for any
// earlier one if the own domain is not expected to be in time. Each server of the domain that has
// refused the call lowers that gain, since what the agent knew of the domain was too good; an
// attempt whose wait is not bounded goes wherever the answer is expected first.
func (c *Core) otherDomainPenalty(now time.Time, cs *callState, lowestInDomain float64) float64 {
	left := cs.objective.Sub(now).Seconds()
	if len(cs.attempts) >= boundedWaitAttempts || !c.prefersDomain() || lowestInDomain == 0 || inTimeFactor*lowestInDomain > left {
		return 0
	}
	return domainGainShare * left / float64(1+len(cs.attempts))
}

// prefersDomain reports whether calls stay in their failure domain while an answer is expected in
// time there.
func (c *Core) prefersDomain() bool {
	return c.Settings.PreferDomain || c.Settings.PreferDomainIfShared && c.sharedVMs
}

// spareWait returns how long a call may wait for a slot at a server, although another one may
// answer sooner, where attempts are to be saved: a refused attempt costs bytes and CPU time on two
// VMs, and an answer that is in time anyway is worth no more for being earlier. It is a share of the
// time left for the objective after the service time and the transfer, since both are estimates.
func (c *Core) spareWait(now time.Time, cs *callState, srv *server) time.Duration {
	if !c.prefersDomain() {
		return 0
	}
	spare := cs.objective.Sub(now) - srv.serviceTime(now, cs.policy.Route) - c.transferTime(srv, cs)
	return time.Duration(spareWaitShare * float64(max(0, spare)))
}

// lowestLatencyInDomain returns the lowest of the expected latencies of the servers in the own
// failure domain, 0 if there is none.
func (c *Core) lowestLatencyInDomain(servers []*server, latencies []float64) float64 {
	lowest := 0.0
	for i, srv := range servers {
		if srv.Domain == c.domain && (lowest == 0 || latencies[i] < lowest) {
			lowest = latencies[i]
		}
	}
	return lowest
}

// expectedLatencies returns the expected latency of each server in seconds, with
// otherDomainPenalty. The result is valid until the next call.
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
