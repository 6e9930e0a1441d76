package booking

import "time"

// adaptLimit records the service time of an answered call and adapts the concurrency limit: a shed
// call lowers it unless FixedLimit is set, and a reset by a full server to the number of calls that
// it still runs;
// once as many calls as the limit have been answered, it rises by one, up to Slots.
func (c *Core) adaptLimit(now time.Time, route string, e Release) {
	switch e.Result {
	case ResultAnswered:
		c.serviceTimes.add(now, route, e.Took, e.AnswerSize)
		c.successes++
		if c.successes >= c.limit && c.limit < c.Slots && !now.Before(c.holdUntil) {
			c.limit++
			c.successes = 0
		}
	case ResultReset:
		c.lowerToAccepted(now)
	case ResultShed:
		if !c.FixedLimit {
			c.decreaseLimit(now)
		}
	}
}

// decreaseLimit lowers the limit by a quarter, but at most once per mean service time and once per
// minRetryAfter.
func (c *Core) decreaseLimit(now time.Time) {
	c.successes = 0
	if now.Sub(c.lastDecrease) < max(c.serviceTimes.mean, minRetryAfter) {
		return
	}
	c.lastDecrease = now
	c.limit = max(1, c.limit-max(1, c.limit/4))
}
