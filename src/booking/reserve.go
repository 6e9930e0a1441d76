package booking

import "time"

const (
	slackMemory = 2 * time.Second // for which the least slack of urgent calls is remembered
	maxReserve  = 2               // slots that are kept free for urgent calls
)

// slack follows how long the calls of each priority can wait and still be in time.
type slack struct {
	least [priorities]time.Duration
	at    [priorities]time.Time // zero for none
}

func (s *slack) add(now time.Time, priority uint8, d time.Duration) {
	r := rank(priority)
	if d <= 0 {
		return
	}
	if s.at[r].IsZero() || now.Sub(s.at[r]) > slackMemory || d <= s.least[r] {
		s.least[r], s.at[r] = d, now
	}
}

// before returns the least slack of the calls that are more urgent than a priority, 0 for none.
func (s *slack) before(now time.Time, priority uint8) time.Duration {
	var least time.Duration
	for r := range rank(priority) {
		if !s.at[r].IsZero() && now.Sub(s.at[r]) <= slackMemory && (least == 0 || s.least[r] < least) {
			least = s.least[r]
		}
	}
	return least
}

// reserve returns how many slots are kept free of a priority's calls, so that more urgent ones that come find one in time.
//
// None are while slots become free often enough by themselves.
func (c *Core) reserve(now time.Time, priority uint8) int {
	if !c.FixedLimit || len(c.running) == 0 {
		return 0
	}
	slack := c.slack.before(now, priority)
	if slack == 0 {
		return 0
	}
	between := c.remaining(now) / time.Duration(len(c.running)*len(c.running))
	switch {
	case between > slack:
		return min(maxReserve, c.limit/2)
	case 2*between > slack:
		return min(1, c.limit/2)
	}
	return 0
}

// leastUrgent returns the last rank whose calls may take a slot now; ranks without a call that waits are not looked at.
func (c *Core) leastUrgent(now time.Time) int {
	for r := priorities - 1; r > 0; r-- {
		if len(c.queue.lines[r]) > 0 && len(c.running) < c.limit-c.reserve(now, uint8(r)) {
			return r
		}
	}
	return 0
}
