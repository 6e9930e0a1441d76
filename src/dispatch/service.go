package dispatch

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/speed"
)

// medianMaxAge is the time after which the medians over a service's servers are recomputed.
const medianMaxAge = 200 * time.Millisecond

// service is the core's state of one service.
type service struct {
	servers           []*server
	budget            *retryBudget
	roundRobinCounter int // choices made by a baseline selection

	mediansAt       time.Time
	medianLatency   time.Duration
	medianErrorRate float64

	speedMemory speed.Memory // what reports of its servers say of their speed later
}

func (s *service) addServer(srv *server) {
	srv.speedMemory = &s.speedMemory
	s.servers = append(s.servers, srv)
}

// hasUsable reports whether any server is usable; a nil service has none.
func (s *service) hasUsable() bool {
	return s != nil && slices.ContainsFunc(s.servers, (*server).isUsable)
}

// hasEligible reports whether any server is eligible; a nil service has none.
func (s *service) hasEligible() bool {
	return s != nil && slices.ContainsFunc(s.servers, (*server).isEligible)
}

// updateMedians recomputes the medians over the servers with enough samples, at most once per medianMaxAge after there is a median latency.
func (s *service) updateMedians(now time.Time) {
	if s.medianLatency > 0 && now.Sub(s.mediansAt) < medianMaxAge {
		return
	}
	s.mediansAt = now
	latencies, errorRates := []time.Duration{}, []float64{}
	for _, srv := range s.servers {
		if srv.samples >= minLatencySamples {
			latencies = append(latencies, srv.meanLatency())
			errorRates = append(errorRates, srv.errorRate)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	slices.Sort(errorRates)
	s.medianLatency = latencies[(len(latencies)-1)/2]
	s.medianErrorRate = errorRates[(len(errorRates)-1)/2]
}

// mayEject reports whether one more server can be ejected without exceeding maxEjectedShare of the usable ones.
func (s *service) mayEject(now time.Time, maxEjectedShare float64) bool {
	usable, ejected := s.countEjected(now)
	return float64(ejected+1) <= maxEjectedShare*float64(usable)
}

// limitEjected ends ejections, in order of expiry, until at most maxEjectedShare of the usable servers is ejected.
func (s *service) limitEjected(now time.Time, maxEjectedShare float64) {
	for {
		usable, ejected := s.countEjected(now)
		if float64(ejected) <= maxEjectedShare*float64(usable) {
			return
		}
		var earliest *server
		for _, srv := range s.servers {
			if srv.isUsable() && srv.isEjected(now) && (earliest == nil || srv.ejectedUntil.Before(earliest.ejectedUntil)) {
				earliest = srv
			}
		}
		earliest.ejectedUntil, earliest.returnedAt = now, now
	}
}

// countEjected returns the number of usable servers and how many of them are ejected.
func (s *service) countEjected(now time.Time) (usable, ejected int) {
	for _, srv := range s.servers {
		if !srv.isUsable() {
			continue
		}
		usable++
		if srv.isEjected(now) {
			ejected++
		}
	}
	return usable, ejected
}
