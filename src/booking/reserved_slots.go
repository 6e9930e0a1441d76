package booking

import "time"

const (
	slackWindow      = 2 * time.Second // for which the least slack of urgent calls is remembered
	maxReservedSlots = 2               // slots that are kept free for urgent calls
)

// slackTracker follows how long the calls of each priority can wait and still be in time.
type slackTracker struct {
	lowest  [priorities]time.Duration
	updated [priorities]time.Time // zero for none
}

func (s *slackTracker) add(now time.Time, priority uint8, d time.Duration) {
	r := rank(priority)
	if d <= 0 {
		return
	}
	if s.updated[r].IsZero() || now.Sub(s.updated[r]) > slackWindow || d <= s.lowest[r] {
		s.lowest[r], s.updated[r] = d, now
	}
}

// lowestMoreUrgent returns the least slack of the calls that are more urgent than a priority, 0 for none.
func (s *slackTracker) lowestMoreUrgent(now time.Time, priority uint8) time.Duration {
	var lowest time.Duration
	for r := range rank(priority) {
		if !s.updated[r].IsZero() && now.Sub(s.updated[r]) <= slackWindow && (lowest == 0 || s.lowest[r] < lowest) {
			lowest = s.lowest[r]
		}
	}
	return lowest
}

// reservedSlots returns how many slots are kept free of a priority's calls, so that more urgent ones that come find one in time.
//
// None are while slots become free often enough by themselves.
func (c *Core) reservedSlots(now time.Time, priority uint8) int {
	if !c.FixedLimit || len(c.running) == 0 {
		return 0
	}
	slack := c.slack.lowestMoreUrgent(now, priority)
	if slack == 0 {
		return 0
	}
	releaseInterval := c.remainingWork(now) / time.Duration(len(c.running)*len(c.running))
	switch {
	case releaseInterval > slack:
		return min(maxReservedSlots, c.limit/2)
	case 2*releaseInterval > slack:
		return min(1, c.limit/2)
	}
	return 0
}

// maxAdmissibleRank returns the last rank whose calls may take a slot now; ranks without a call that waits are not looked at.
func (c *Core) maxAdmissibleRank(now time.Time) int {
	for r := priorities - 1; r > 0; r-- {
		if len(c.queue.byRank[r]) > 0 && len(c.running) < c.limit-c.reservedSlots(now, uint8(r)) {
			return r
		}
	}
	return 0
}
