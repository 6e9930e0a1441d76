package dispatch

import "time"

const (
	answerTimeDivisor      = 8 // an answer moves the mean by 1/8 of the difference
	answerDeviationDivisor = 4 // and the mean deviation by 1/4
	answerDeviations       = 4 // mean deviations beyond the mean within which answers usually end
)

// answerTimes estimates, for each route, how long answers take from their head to the end of their body, which depends on links and callers.
type answerTimes struct{ byRoute map[routeKey]answerTime }

// answerTime is the estimate of one route.
type answerTime struct{ mean, deviation time.Duration }

// add records how long an answer took.
func (t *answerTimes) add(k routeKey, d time.Duration) {
	if t.byRoute == nil || len(t.byRoute) >= maxRoutes {
		t.byRoute = map[routeKey]answerTime{}
	}
	a, ok := t.byRoute[k]
	if !ok {
		a.mean = d
	}
	diff := d - a.mean
	a.mean += diff / answerTimeDivisor
	a.deviation += (max(diff, -diff) - a.deviation) / answerDeviationDivisor
	t.byRoute[k] = a
}

// usual returns the time within which answers usually end, 0 if it is unknown.
func (t *answerTimes) usual(k routeKey) time.Duration {
	a := t.byRoute[k]
	return a.mean + answerDeviations*a.deviation
}

// isKnown reports whether an answer of a route has been passed on while it arrived.
func (t *answerTimes) isKnown(k routeKey) bool {
	_, ok := t.byRoute[k]
	return ok
}
