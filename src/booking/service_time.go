package booking

import "time"

const (
	lowEstimateTTL = 5 * time.Second // a low estimate without a new sample for this long is not used
	maxRoutes      = 256             // most routes with an estimate; a further route discards all estimates
	meanDivisor    = 16              // a sample moves the mean by 1/16 of the difference
	fallDivisor    = 4               // a shorter sample moves the low estimate by 1/4 of the difference
	riseDivisor    = 32              // a longer sample moves it by 1/32
)

// routeEstimate estimates the service time and the answer size of one route.
type routeEstimate struct {
	mean    time.Duration
	spread  time.Duration // mean absolute deviation from the mean
	low     time.Duration // estimate near the shortest service times; calls with less time left are refused, and a higher estimate would refuse some that could meet their deadline
	updated time.Time

	answerSize int64 // mean size of the successful answers in bytes, 0 if unknown
}

func (e *routeEstimate) add(now time.Time, took time.Duration, answerSize int64) {
	if e.updated.IsZero() {
		e.mean = took
	} else {
		e.spread += ((took - e.mean).Abs() - e.spread) / meanDivisor
		e.mean += (took - e.mean) / meanDivisor
	}
	switch {
	case answerSize <= 0:
	case e.answerSize == 0:
		e.answerSize = answerSize
	default:
		e.answerSize += (answerSize - e.answerSize) / meanDivisor
	}
	switch {
	case e.updated.IsZero() || now.Sub(e.updated) > lowEstimateTTL:
		e.low = took
	case took < e.low:
		e.low -= (e.low - took) / fallDivisor
	default:
		e.low += (took - e.low) / riseDivisor
	}
	e.updated = now
}

// lowAt returns the low estimate, 0 if there is none or it is too old.
func (e *routeEstimate) lowAt(now time.Time) time.Duration {
	if e == nil || now.Sub(e.updated) > lowEstimateTTL {
		return 0
	}
	return e.low
}

// serviceTimeEstimator estimates the service times and answer sizes of all routes.
type serviceTimeEstimator struct {
	routes map[string]*routeEstimate
	mean   time.Duration // over all calls
}

func (s *serviceTimeEstimator) add(now time.Time, route string, took time.Duration, answerSize int64) {
	if s.mean == 0 {
		s.mean = took
	} else {
		s.mean += (took - s.mean) / meanDivisor
	}
	e := s.routes[route]
	if e == nil {
		if s.routes == nil || len(s.routes) >= maxRoutes {
			s.routes = map[string]*routeEstimate{}
		}
		e = &routeEstimate{}
		s.routes[route] = e
	}
	e.add(now, took, answerSize)
}

// routeMean returns the mean service time of a route, 0 if it is unknown.
func (s *serviceTimeEstimator) routeMean(route string) time.Duration {
	if e := s.routes[route]; e != nil {
		return e.mean
	}
	return 0
}

// routeDeviation returns the mean absolute deviation of the service times of a route, 0 if it is unknown.
func (s *serviceTimeEstimator) routeDeviation(route string) time.Duration {
	if e := s.routes[route]; e != nil {
		return e.spread
	}
	return 0
}

// routeAnswerSize returns the mean size of the answers of a route in bytes, 0 if it is unknown.
func (s *serviceTimeEstimator) routeAnswerSize(route string) int64 {
	if e := s.routes[route]; e != nil {
		return e.answerSize
	}
	return 0
}

// routeLow returns the low estimate of the service time of a route, 0 if it is unknown.
func (s *serviceTimeEstimator) routeLow(now time.Time, route string) time.Duration {
	return s.routes[route].lowAt(now)
}
