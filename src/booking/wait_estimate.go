package booking

import "time"

const (
	usageWindow         = 2 * time.Second // period over which the slot time used by each priority is averaged
	maxUrgentShare      = 0.9             // share of the slots; keeps the estimate from assuming that less urgent calls get no slots at all
	maxLateShare        = 0.7             // a late call is queued or kept only if its answer is expected within this share of the time left until its deadline
	minRemainingDivisor = 8               // a call that has run longer than expected is assumed to need another 1/8 of the expected time
)

// runningCall is a call that holds a slot.
type runningCall struct {
	route    string
	admitted time.Time
	expected time.Duration // expected service time
	progress time.Duration // of the backend server's VM at admission, see speed.Tracker.Progress

	transferTime  time.Duration // expected time of its answer on the network connection
	objectiveTime time.Time     // zero for no objective
	sent          time.Time     // when its request had been sent, zero before
	answering     bool          // the head of its answer has arrived; the backend server may have sent all of it
	lost          bool          // reported by Lost
}

// isLate reports whether the call can no longer meet its objective.
func (r *runningCall) isLate(now time.Time) bool {
	return !r.objectiveTime.IsZero() && now.After(r.objectiveTime)
}

// slotUsage tracks the expected slot time of the calls of each priority that were admitted recently.
type slotUsage struct {
	used     [rankCount]float64 // seconds of slot time of calls that were not late, decaying
	usedLate [rankCount]float64 // the same of late calls
	updated  time.Time
}

func (u *slotUsage) add(now time.Time, priority uint8, late bool, serviceTime time.Duration) {
	u.decay(now)
	if late {
		u.usedLate[rank(priority)] += serviceTime.Seconds()
	} else {
		u.used[rank(priority)] += serviceTime.Seconds()
	}
}

func (u *slotUsage) decay(now time.Time) {
	factor := max(0, 1-now.Sub(u.updated).Seconds()/usageWindow.Seconds())
	for i := range u.used {
		u.used[i] *= factor
		u.usedLate[i] *= factor
	}
	u.updated = now
}

// precedingShare returns the share of the slots, at most maxUrgentShare, recently used by calls that precede one of the given priority whenever they arrive:
// the more urgent ones and, if it is late, all that are not.
func (u *slotUsage) precedingShare(now time.Time, priority uint8, late bool, slots int) float64 {
	u.decay(now)
	sum := 0.0
	for r := range rankCount {
		switch {
		case r < rank(priority) && late:
			sum += u.used[r] + u.usedLate[r]
		case r < rank(priority) || late:
			sum += u.used[r]
		}
	}
	return min(maxUrgentShare, sum/(float64(max(1, slots))*usageWindow.Seconds()))
}

// expectedWait returns how long a call of the given priority is expected to wait for a slot and for
// the limit that the backend server has named. For late, see workAhead.
func (c *Core) expectedWait(now time.Time, priority uint8, late bool) time.Duration {
	if c.limit == 0 {
		return 0
	}
	n, work := c.queue.workAhead(now, priority, late)
	return max(c.expectedSlotWait(now, priority, late, n, work), c.rate.expectedWait(now, priority, late, n))
}

// expectedSlotWait returns how long a call is expected to wait for a slot, given the remaining
// times of the running calls, the number and service time of the calls ahead of it and the share of
// the slots that calls which arrive later, but precede it, use.
func (c *Core) expectedSlotWait(now time.Time, priority uint8, late bool, n int, work time.Duration) time.Duration {
	if busy := c.busySlots(); busy < c.limit && c.queue.size == 0 || c.rate.limited && busy+n < c.limit {
		return 0
	}
	remainingWork := c.remainingWork(now)
	d := (remainingWork + work) / time.Duration(c.limit)
	// With n < limit calls ahead, the call starts when n+1 of the running calls have ended. If their remaining times
	// are spread uniformly between 0 and twice their mean, that is after 2*mean*(n+1)/(limit+1).
	if n < c.limit && len(c.running) > 0 {
		d = min(d, 2*remainingWork/time.Duration(len(c.running))*time.Duration(n+1)/time.Duration(c.limit+1))
	}
	// Calls that arrive meanwhile and precede this one take their share of the slots.
	return time.Duration(float64(d) / (1 - c.usage.precedingShare(now, priority, late, c.limit)))
}

// remainingWork returns the sum of the remaining times of all running calls.
func (c *Core) remainingWork(now time.Time) time.Duration {
	var d time.Duration
	for _, r := range c.running {
		d += c.remainingTime(now, r)
	}
	return d
}

// usualServiceTime returns the mean service time of a route at usual speed, or that of all calls if
// the route has none.
func (c *Core) usualServiceTime(route string) time.Duration {
	if d := c.serviceTimes.routeMean(route); d > 0 {
		return d
	}
	return c.serviceTimes.mean
}

// worthWaiting reports whether the answer of a late call with the given expected wait is expected within maxLateShare of the time left until its deadline.
// A call without a deadline, or with a later one, counts as having its deadline QueueWait plus its expected service time after its arrival.
func worthWaiting(now time.Time, w *waiter, wait time.Duration) bool {
	timeLeft := w.expiry.Add(w.serviceTime).Sub(now)
	return wait+w.serviceTime <= time.Duration(maxLateShare*float64(timeLeft))
}
