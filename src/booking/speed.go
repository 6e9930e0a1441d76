package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/speed"
)

// speedCheckAge is the age from which a report of the speed is refreshed by the health path while
// calls run or wait; a server that is called answers more often than that.
const speedCheckAge = probeInterval

// vmSpeed is the current speed of the backend server's VM, as its load headers report it.
type vmSpeed struct {
	tracker speed.Tracker
	memory  speed.Memory
}

// atCurrentSpeed returns how long work that takes the given time at usual speed is expected to take now.
func (c *Core) atCurrentSpeed(now time.Time, usual time.Duration) time.Duration {
	return c.speed.tracker.Expected(now, usual, &c.speed.memory)
}

// expectedServiceTime returns the mean service time of a route at the current speed, or that of all
// calls if the route has none.
func (c *Core) expectedServiceTime(now time.Time, route string) time.Duration {
	return c.atCurrentSpeed(now, c.usualServiceTime(route))
}

// lowServiceTime returns the low estimate of the service time of a route, 0 if it is unknown. A VM
// that is slow now may be fast again soon, so only a speed above the usual one counts.
func (c *Core) lowServiceTime(now time.Time, route string) time.Duration {
	low := c.serviceTimes.routeLow(now, route)
	return min(low, c.atCurrentSpeed(now, low))
}

// remainingTime returns how much longer a running call is expected to hold its slot.
func (c *Core) remainingTime(now time.Time, r *runningCall) time.Duration {
	if !c.speed.tracker.IsKnown() {
		return max(r.expected-now.Sub(r.admitted), r.expected/minRemainingDivisor)
	}
	usual := c.usualServiceTime(r.route)
	done := c.speed.tracker.Progress(now) - r.progress
	return c.atCurrentSpeed(now, max(usual-done, usual/minRemainingDivisor))
}

// SpeedPercent returns how long work is expected to take on the VM now, 100 as usual, 0 if the
// backend server reports no speed.
func (c *Core) SpeedPercent(now time.Time) int32 {
	return c.speed.tracker.Percent(now, &c.speed.memory)
}

// needsSpeedCheck reports whether an old report of the speed decides something: the server reports
// its speed, and calls run or wait whose remaining times depend on it.
func (c *Core) needsSpeedCheck(now time.Time) bool {
	return c.speed.tracker.IsKnown() && c.speed.tracker.Age(now) >= speedCheckAge && (len(c.running) > 0 || c.queue.size > 0)
}
