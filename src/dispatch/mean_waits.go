package dispatch

import (
	"math"
	"time"
)

// meanWaits holds the geometric mean of the waits of a service's servers by route, in which a
// report counts half after each expectedWaitHalfLife.
// A few servers with very long waits say little about the others, hence not the arithmetic mean.
type meanWaits struct{ byRoute map[string]*meanWait }

// meanWait is the mean wait of a route.
type meanWait struct {
	sum, weight float64 // of the logarithms of the waits in milliseconds plus 1, and of the reports, both decayed until at
	at          time.Time
}

func (m *meanWait) decay(now time.Time) {
	f := math.Exp2(-now.Sub(m.at).Seconds() / expectedWaitHalfLife.Seconds())
	m.sum, m.weight, m.at = m.sum*f, m.weight*f, now
}

func (w *meanWaits) add(now time.Time, route string, wait time.Duration) {
	m := w.byRoute[route]
	if m == nil {
		if w.byRoute == nil || len(w.byRoute) >= maxRoutes {
			w.byRoute = map[string]*meanWait{}
		}
		m = &meanWait{at: now}
		w.byRoute[route] = m
	}
	m.decay(now)
	m.sum += math.Log1p(1000 * wait.Seconds())
	m.weight++
}

// mean returns the mean wait of a route, 0 if it is unknown. It falls while there are no reports.
func (w *meanWaits) mean(now time.Time, route string) time.Duration {
	m := w.byRoute[route]
	if m == nil {
		return 0
	}
	m.decay(now)
	return time.Duration(math.Expm1(m.sum/max(1, m.weight)) * float64(time.Millisecond))
}
