package dispatch

import (
	"math"
	"time"
)

// reportedWait is the wait for a slot that a server has reported to the calls of one route.
type reportedWait struct {
	wait time.Duration
	at   time.Time
}

// left returns what is left of the wait.
func (w reportedWait) left(now time.Time) time.Duration { return max(0, w.wait-now.Sub(w.at)) }

// recordWait stores the wait reported to a call of the given route.
func (s *server) recordWait(now time.Time, route string, wait time.Duration) {
	if s.waits == nil || len(s.waits) >= maxRoutes {
		s.waits = map[string]reportedWait{}
	}
	s.waits[route] = reportedWait{wait, now}
	s.serviceWaits.add(now, route, wait)
}

// backlog returns the time that a call of the given route would wait: what was last reported to
// that route, less the time since.
// Routes differ in priority, so that the wait of another one says little; it counts only if the
// report to this one is missing or much older.
//
// The older the report, the more the mean wait at the service's servers counts: where calls wait
// everywhere, a server whose queue was seen long ago is not free.
func (s *server) backlog(now time.Time, route string) time.Duration {
	w, ok := s.waits[route]
	if !ok || s.loadAt.Sub(w.at) >= expectedWaitHalfLife {
		w = reportedWait{s.load.Backlog, s.loadAt}
	}
	share := 1 - math.Exp2(-now.Sub(w.at).Seconds()/expectedWaitHalfLife.Seconds())
	return max(w.left(now), time.Duration(share*float64(s.serviceWaits.mean(now, route))))
}
