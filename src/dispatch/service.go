package dispatch

import (
	"slices"
	"time"
)

// medianAge is how long the medians over a service's servers are used before they are taken anew.
const medianAge = 200 * time.Millisecond

// service is what the core knows of one service.
type service struct {
	servers []*server
	budget  *budget
	turn    int // of the round robin baseline

	medianAt      time.Time
	medianLatency time.Duration
	medianErrors  float64
}

func (s *service) add(m *server) { s.servers = append(s.servers, m) }

// usable tells whether any server is alive and ready.
func (s *service) usable() bool {
	return s != nil && slices.ContainsFunc(s.servers, (*server).usable)
}

// choosable tells whether any server may be chosen at all.
func (s *service) choosable() bool {
	return s != nil && slices.ContainsFunc(s.servers, (*server).choosable)
}

// updateMedians takes the medians over the servers that have been observed often enough.
func (s *service) updateMedians(now time.Time) {
	if s.medianLatency > 0 && now.Sub(s.medianAt) < medianAge {
		return
	}
	s.medianAt = now
	latencies, errors := []time.Duration{}, []float64{}
	for _, m := range s.servers {
		if m.samples >= fewSamples {
			latencies = append(latencies, m.latency())
			errors = append(errors, m.errorRate)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	slices.Sort(errors)
	s.medianLatency = latencies[(len(latencies)-1)/2]
	s.medianErrors = errors[(len(errors)-1)/2]
}

// mayPutAside tells whether one more server can be set aside within a share of the usable ones.
func (s *service) mayPutAside(now time.Time, share float64) bool {
	usable, aside := s.countAside(now)
	return float64(aside+1) <= share*float64(usable)
}

// limitAside returns servers to use, the first due first, when those set aside have become too large a share.
func (s *service) limitAside(now time.Time, share float64) {
	for {
		usable, aside := s.countAside(now)
		if float64(aside) <= share*float64(usable) {
			return
		}
		var first *server
		for _, m := range s.servers {
			if m.usable() && m.isAside(now) && (first == nil || m.asideUntil.Before(first.asideUntil)) {
				first = m
			}
		}
		first.asideUntil, first.returned = now, now
	}
}

func (s *service) countAside(now time.Time) (usable, aside int) {
	for _, m := range s.servers {
		if !m.usable() {
			continue
		}
		usable++
		if m.isAside(now) {
			aside++
		}
	}
	return usable, aside
}
