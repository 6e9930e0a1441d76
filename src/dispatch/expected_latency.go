package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	largeBody            = 16 << 10              // bytes; a call with a larger request body, or with larger answers expected, stays in its failure domain if a server there is available and expected to meet the call's objective, if it has one
	highLoad             = 0.75                  // share of the slots in use beyond which a call is likely to be queued or slowed down
	highLoadCost         = 0.5                   // added with all slots in use, as a share of the service time
	otherDomainCost      = 0.2                   // added for a server in another failure domain of the region, as a share of the service time
	otherRegionCost      = 0.5                   // added for a server in another region, as a share of the service time
	otherDomainDelay     = 3 * time.Millisecond  // added for a server in another failure domain
	expectedWaitHalfLife = time.Second           // of the load that other daemons cause at a server, after its report; used by expectedWait in place of Settings.LoadHalfLife
	boundedWaitAttempts  = 3                     // attempts of a call whose wait for a slot is limited by maxQueueWait
	furtherAttemptCost   = 15 * time.Millisecond // round trip to the next server, also over slow links
	waitFactor           = 1.5                   // maxQueueWait covers this many times the expected wait, which is only an estimate
	latencyJitter        = 0.1                   // largest random addition, as a share of the expected latency: it keeps daemons with the same information from all choosing the same server
)

// chooseLowestLatency chooses the server that is expected to answer a call first.
func (c *Core) chooseLowestLatency(now time.Time, svc *service, servers []*server, cs *callState) choice {
	latencies := c.expectedLatencies(now, svc, servers, cs)
	var best *server
	lowest, secondLowest := math.Inf(1), math.Inf(1)
	for i, srv := range servers {
		latency := latencies[i] * (1 + latencyJitter*c.Rand.Float64())
		switch {
		case latency < lowest:
			best, lowest, secondLowest = srv, latency, lowest
		case latency < secondLowest:
			secondLowest = latency
		}
	}
	margin := time.Duration(0)
	if len(servers) > 1 {
		margin = time.Duration((secondLowest - lowest) * float64(time.Second))
	}
	reason := ChoiceAny
	switch {
	case best.busySlots(now, c.Settings.LoadHalfLife)+1 > best.slotCount(): // all slots, not only saturationShare of them
		reason = ChoiceSaturated
	case best.Domain == c.domain:
		reason = ChoiceLocal
	case c.region != "" && best.Region == c.region:
		reason = ChoiceRegion
	}
	return choice{server: best, reason: reason, margin: margin}
}

// expectedLatency returns the expected time until a server's answer in seconds, increased for high load, distance, slow start, errors and a late attempt.
func (c *Core) expectedLatency(now time.Time, svc *service, srv *server, cs *callState, defaultServiceTime time.Duration) float64 {
	serviceTime := srv.serviceTimes[cs.policy.Route]
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	usualSeconds := serviceTime.Seconds()
	serviceTime = srv.atCurrentSpeed(now, serviceTime)
	seconds := serviceTime.Seconds()
	load := (srv.busySlots(now, c.Settings.LoadHalfLife) + 1) / srv.slotCount()
	latency := seconds * (1 + highLoadCost*max(0, min(load, 1)-highLoad)/(1-highLoad))
	latency += c.expectedAnswerWait(now, srv, cs, serviceTime).Seconds()
	latency += c.transferTime(srv, cs).Seconds()
	if srv.Domain != c.domain {
		distanceCost := otherDomainCost
		if srv.Region != c.region {
			distanceCost = otherRegionCost
		}
		latency += distanceCost*usualSeconds + otherDomainDelay.Seconds()
	}
	latency *= 2 - srv.slowStartShare(now, c.Settings.SlowStart)
	return latency * (1 + srv.decayedErrorPenalty(now) + srv.latePenalty(now, svc.mediansOf(srv).latency))
}

// expectedAnswerWait returns how long a call would wait at a server before its service time and transfer: for a slot and, with a large answer from another VM, for the network connection there as far as that is still busy after the service time.
func (c *Core) expectedAnswerWait(now time.Time, srv *server, cs *callState, serviceTime time.Duration) time.Duration {
	wait := srv.expectedWait(now, cs.policy.Route)
	if srv.ID == c.self || cs.answerSize <= largeBody {
		return wait
	}
	return max(wait, srv.linkDelay(now)-serviceTime)
}

// maxQueueWait returns how long a call may wait for a slot before another server is expected to answer sooner, 0 for no limit. The limit is needed because load reports are old where a daemon seldom calls each server. The wait of a large body at the server on this VM, which needs no transfer, is not limited.
func (c *Core) maxQueueWait(now time.Time, cs *callState, ch choice) time.Duration {
	if cs.final || cs.objective.IsZero() || ch.margin == 0 || cs.hasLargeBody() && ch.server.ID == c.self || len(cs.attempts) >= boundedWaitAttempts {
		return 0
	}
	wait := c.expectedAnswerWait(now, ch.server, cs, ch.server.serviceTime(now, cs.policy.Route))
	return max(c.spareWait(now, cs, ch.server), furtherAttemptCost+ch.margin+time.Duration(waitFactor*float64(wait)))
}

// transferTime returns the time to transfer a call's body and its expected answer between this VM and a server's: over both links, unless the server is on this VM.
func (c *Core) transferTime(srv *server, cs *callState) time.Duration {
	if srv.ID == c.self || c.Settings.LinkRate <= 0 {
		return 0
	}
	return time.Duration(2 * float64(cs.transferSize()) / c.Settings.LinkRate * float64(time.Second))
}

// medianServiceTime returns the median service time of a route over the servers that have reported one, 1 ms if none has.
func medianServiceTime(servers []*server, route string) time.Duration {
	reported := make([]time.Duration, 0, len(servers))
	for _, srv := range servers {
		if d := srv.serviceTimes[route]; d > 0 {
			reported = append(reported, d)
		}
	}
	if len(reported) == 0 {
		return time.Millisecond
	}
	slices.Sort(reported)
	return reported[(len(reported)-1)/2]
}

// expectedWait returns how long a call would wait for a slot: its backlog, plus the time for the
// calls that this daemon has sent since.
func (s *server) expectedWait(now time.Time, route string) time.Duration {
	wait := s.backlog(now, route)
	sentSince := max(0, s.inFlight-s.inFlightAtLoad)
	if excess := s.busySlots(now, expectedWaitHalfLife) + 1 - s.slotCount(); excess > 0 && sentSince > 0 {
		wait += time.Duration(min(excess, float64(sentSince)) / s.slotCount() * float64(s.serviceTime(now, route)))
	}
	return wait
}
