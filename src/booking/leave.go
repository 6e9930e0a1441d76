package booking

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// leaveCheckInterval is the time between two checks which queued calls can still reach a leaving
// backend server.
const leaveCheckInterval = 50 * time.Millisecond

// startLeave applies a Leave. A second one cannot postpone the first.
func (c *Core) startLeave(now time.Time, within time.Duration) []Action {
	c.drain(now)
	if by := now.Add(within); c.leaveBy.IsZero() || by.Before(c.leaveBy) {
		c.leaveBy = by
	}
	return c.admitQueued(now, c.refuseExpired(now, nil))
}

// refuseUnreachable refuses the queued calls that are not expected to get a slot before the leaving
// backend server may end, so that they can run elsewhere.
func (c *Core) refuseUnreachable(now time.Time, actions []Action) []Action {
	if c.leaveBy.IsZero() || c.queue.size == 0 {
		return actions
	}
	left := c.leaveBy.Sub(now)
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
	if c.leaveBy.IsZero() || c.queue.size == 0 {
		return 0, false
	}
	return min(leaveCheckInterval, max(0, c.leaveBy.Sub(now))), true
}
