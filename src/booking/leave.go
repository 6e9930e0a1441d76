package booking

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	leaveCheckInterval = 50 * time.Millisecond  // between checks which queued calls can still reach a leaving backend server
	sendMargin         = 100 * time.Millisecond // before the end of the time to reach it, for a request to be sent
)

// leave is the state of a backend server that may end soon. The zero value is one that is not leaving.
type leave struct {
	by time.Time // requests must have reached it by then, zero if it is not leaving
}

// Leave makes the Core refuse new calls, and those queued calls that are not expected to reach the
// backend server in time: it may end afterwards.
type Leave struct {
	Within time.Duration `json:"within_ns"`
}

func (Leave) isEvent() {}

// startLeave applies a Leave. A second one cannot postpone the first.
func (c *Core) startLeave(now time.Time, within time.Duration) []Action {
	c.drain(now)
	if by := now.Add(within); c.leave.by.IsZero() || by.Before(c.leave.by) {
		c.leave.by = by
	}
	return c.admitQueued(now, c.refuseExpired(now, nil))
}

// refuseUnreachable refuses the queued calls that are not expected to get a slot before the leaving
// backend server may end, so that they can run elsewhere.
func (c *Core) refuseUnreachable(now time.Time, actions []Action) []Action {
	if c.leave.by.IsZero() || c.queue.size == 0 {
		return actions
	}
	left := c.leave.by.Sub(now)
	slowdown := c.slowdown(now)
	free := make([]time.Duration, 0, c.limit)
	for _, r := range c.running {
		elapsed := now.Sub(r.admitted)
		free = append(free, max(time.Duration(slowdown*float64(r.expected))-elapsed, c.remainingTime(now, r)))
	}
	for len(free) < c.limit {
		free = append(free, 0)
	}
	queue, ahead := c.queue.clone(), 0
	for {
		w, ok := queue.pop(now, rankCount-1)
		if !ok {
			return actions
		}
		first := slices.Index(free, slices.Min(free))
		start := max(free[first], c.rate.wait(now, ahead))
		if start >= left {
			c.queue.remove(w.call)
			actions = append(actions, Refuse{Call: w.call, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter})
			continue
		}
		free[first] = start + time.Duration(slowdown*float64(w.serviceTime))
		ahead++
	}
}

// slowdown returns how many times as long as expected the running calls have taken so far, at least
// 1. A backend server that has turned slow shows it here before any of its calls has ended.
func (c *Core) slowdown(now time.Time) float64 {
	taken, expected := time.Duration(0), time.Duration(0)
	for _, r := range c.running {
		elapsed := now.Sub(r.admitted)
		taken += elapsed
		expected += min(elapsed, r.expected)
	}
	if expected <= 0 {
		return 1
	}
	return float64(taken) / float64(expected)
}

// nextLeaveCheck returns the time until the queued calls are to be checked again; it reports false
// if the backend server is not leaving or no call is queued.
func (c *Core) nextLeaveCheck(now time.Time) (time.Duration, bool) {
	if c.leave.by.IsZero() || c.queue.size == 0 {
		return 0, false
	}
	return min(leaveCheckInterval, max(0, c.leave.by.Sub(now))), true
}

// LeaveWithin starts the leave of the backend server, which may end once d has passed. New calls are
// refused at once, and no request that waits is sent to it later. Requests that it runs are not cut.
// A second leave cannot postpone the first.
func (s *Server) LeaveWithin(d time.Duration) {
	s.init()
	within := max(0, d-sendMargin)
	s.mu.Lock()
	isFirst := s.leaveBy.IsZero()
	if by := clock.NowWithSuspension().Add(within); isFirst || by.Before(s.leaveBy) {
		s.leaveBy = by
	}
	waiting := s.core.queue.size
	s.stepLocked(Leave{Within: within})
	remaining := s.core.queue.size
	s.crashes.left = s.instance
	s.mu.Unlock()
	if !isFirst {
		return // each heartbeat repeats it
	}
	s.Log.Info("backend server is leaving", "within", d.String(), "queued", waiting, "still_queued", remaining)
}

// hasLeft reports whether the backend server is leaving and may end before a request sent now has
// reached it. Suspensions of the VM count.
func (s *Server) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaveBy.IsZero() && !clock.NowWithSuspension().Before(s.leaveBy)
}

// refuseLeft refuses an admitted call none of which has been sent, because the backend server may
// end before it arrives.
func (x *exchange) refuseLeft() {
	x.s.pool.drop(x.conn)
	x.release(ResultNotSent)
	x.refuse(wire.Refusal{Reason: wire.ReasonLeaving, RetryAfterMS: minRetryAfter.Milliseconds()})
}
