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

	medians    medians // over the servers, but those of the new version
	newMedians medians // over the servers of the new version of a service under an order

	waits       meanWaits
	speedMemory speed.Memory // what reports of its servers say of their speed later
}

// medians are the medians over servers of a service. They are kept by version while the service is
// under an order, as are ejections: a new version that answers otherwise is no outlier.
type medians struct {
	at        time.Time
	latency   time.Duration
	errorRate float64
}

// mediansOf returns the medians over the servers of a server's version.
func (s *service) mediansOf(srv *server) *medians {
	if srv.isNew {
		return &s.newMedians
	}
	return &s.medians
}

func (s *service) addServer(srv *server) {
	srv.speedMemory, srv.serviceWaits = &s.speedMemory, &s.waits
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
	s.medians.update(now, s.servers, false)
	if slices.ContainsFunc(s.servers, func(srv *server) bool { return srv.isNew }) {
		s.newMedians.update(now, s.servers, true)
	}
}

// update recomputes the medians over the servers that are new or not.
func (m *medians) update(now time.Time, servers []*server, isNew bool) {
	if m.latency > 0 && now.Sub(m.at) < medianMaxAge {
		return
	}
	m.at = now
	latencies, errorRates := []time.Duration{}, []float64{}
	for _, srv := range servers {
		if srv.isNew == isNew && srv.samples >= minLatencySamples {
			latencies = append(latencies, srv.meanLatency())
			errorRates = append(errorRates, srv.errorRate)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	slices.Sort(errorRates)
	m.latency = latencies[(len(latencies)-1)/2]
	m.errorRate = errorRates[(len(errorRates)-1)/2]
}

// mayEject reports whether one more server can be ejected without exceeding maxEjectedShare of the
// usable ones of its version.
func (s *service) mayEject(now time.Time, srv *server, maxEjectedShare float64) bool {
	usable, ejected := s.countEjected(now, srv.isNew)
	return float64(ejected+1) <= maxEjectedShare*float64(usable)
}

// limitEjected ends ejections, in order of expiry, until at most maxEjectedShare of the usable
// servers of each version is ejected.
func (s *service) limitEjected(now time.Time, maxEjectedShare float64) {
	for _, isNew := range []bool{false, true} {
		s.limitEjectedOf(now, isNew, maxEjectedShare)
	}
}

func (s *service) limitEjectedOf(now time.Time, isNew bool, maxEjectedShare float64) {
	for {
		usable, ejected := s.countEjected(now, isNew)
		if float64(ejected) <= maxEjectedShare*float64(usable) {
			return
		}
		var earliest *server
		for _, srv := range s.servers {
			if srv.isNew == isNew && srv.isUsable() && srv.isEjected(now) && (earliest == nil || srv.ejectedUntil.Before(earliest.ejectedUntil)) {
				earliest = srv
			}
		}
		earliest.ejectedUntil, earliest.returnedAt = now, now
	}
}

// countEjected returns the number of usable servers that are new or not, and how many of them are ejected.
func (s *service) countEjected(now time.Time, isNew bool) (usable, ejected int) {
	for _, srv := range s.servers {
		if srv.isNew != isNew || !srv.isUsable() {
			continue
		}
		usable++
		if srv.isEjected(now) {
			ejected++
		}
	}
	return usable, ejected
}
