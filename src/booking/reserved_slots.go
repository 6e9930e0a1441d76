package booking

import "time"

const (
	slackWindow      = 2 * time.Second // period for which the lowest slack of each priority is kept
	maxReservedSlots = 2               // most slots that are kept free for more urgent calls
)

// slackTracker tracks, for each priority, the lowest recent slack: how long a call can wait and still meet its objective.
type slackTracker struct {
	lowest  [rankCount]time.Duration
	updated [rankCount]time.Time // zero time for no sample
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

// lowestMoreUrgent returns the lowest recent slack of the calls more urgent than the given priority, 0 for none.
func (s *slackTracker) lowestMoreUrgent(now time.Time, priority uint8) time.Duration {
	var lowest time.Duration
	for r := range rank(priority) {
		if !s.updated[r].IsZero() && now.Sub(s.updated[r]) <= slackWindow && (lowest == 0 || s.lowest[r] < lowest) {
			lowest = s.lowest[r]
		}
	}
	return lowest
}

// reservedSlots returns how many slots calls of the given priority must leave free, so that more urgent calls can meet their objective.
//
// It returns 0 without a fixed limit, while slots are released often enough without a reserve, and
// while the backend server is leaving, since no more urgent calls arrive.
func (c *Core) reservedSlots(now time.Time, priority uint8) int {
	if !c.FixedLimit || len(c.running) == 0 || !c.leaveBy.IsZero() {
		return 0
	}
	slack := c.slack.lowestMoreUrgent(now, priority)
	if slack == 0 {
		return 0
	}
	// The mean remaining time, divided by the number of running calls, is the expected time between two releases.
	releaseInterval := c.remainingWork(now) / time.Duration(len(c.running)*len(c.running))
	switch {
	case releaseInterval > slack:
		return min(maxReservedSlots, c.limit/2)
	case 2*releaseInterval > slack:
		return min(1, c.limit/2)
	}
	return 0
}

// maxAdmissibleRank returns the least urgent rank that has a queued call and may take a slot now, given the reserved slots. If there is none, it returns 0, since no slots are reserved against rank 0.
func (c *Core) maxAdmissibleRank(now time.Time) int {
	for r := rankCount - 1; r > 0; r-- {
		if len(c.queue.byRank[r]) > 0 && c.busySlots() < c.limit-c.reservedSlots(now, uint8(r)) {
			return r
		}
	}
	return 0
}
