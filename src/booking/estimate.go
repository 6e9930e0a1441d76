package booking

import "time"

const (
	estimateAge  = 5 * time.Second // without a sample an estimate counts for nothing after it
	maxEstimates = 256             // routes
	meanShare    = 16              // a sample moves the mean by this part of the difference
	fallShare    = 4               // a shorter sample moves the low estimate by this part of the difference
	riseShare    = 32              // a longer one by this part
)

// estimate follows the service time of one route.
type estimate struct {
	mean time.Duration
	low  time.Duration // near the short service times, so that few calls are refused that would have been in time
	last time.Time
}

func (e *estimate) add(now time.Time, took time.Duration) {
	if e.last.IsZero() {
		e.mean = took
	} else {
		e.mean += (took - e.mean) / meanShare
	}
	switch {
	case e.last.IsZero() || now.Sub(e.last) > estimateAge:
		e.low = took
	case took < e.low:
		e.low -= (e.low - took) / fallShare
	default:
		e.low += (took - e.low) / riseShare
	}
	e.last = now
}

func (e *estimate) at(now time.Time) time.Duration {
	if e == nil || now.Sub(e.last) > estimateAge {
		return 0
	}
	return e.low
}

// estimates holds the service times of all routes.
type estimates struct {
	routes map[string]*estimate
	mean   time.Duration // over all calls
}

func (s *estimates) add(now time.Time, route string, took time.Duration) {
	if s.mean == 0 {
		s.mean = took
	} else {
		s.mean += (took - s.mean) / meanShare
	}
	e := s.routes[route]
	if e == nil {
		if s.routes == nil || len(s.routes) >= maxEstimates {
			s.routes = map[string]*estimate{}
		}
		e = &estimate{}
		s.routes[route] = e
	}
	e.add(now, took)
}

// expected returns the mean service time of a route, 0 when it is unknown.
func (s *estimates) expected(route string) time.Duration {
	if e := s.routes[route]; e != nil {
		return e.mean
	}
	return 0
}

// least returns the time that a call of a route takes at least.
func (s *estimates) least(now time.Time, route string) time.Duration { return s.routes[route].at(now) }
