package booking

import "time"

const (
	usageWindow         = 2 * time.Second // for which the share of slots that urgent calls take is averaged
	maxUrgentShare      = 0.9             // of the slots; less urgent calls are never reckoned to get none
	maxLateShare        = 0.7             // of the time left that a late call may be expected to take
	minRemainingDivisor = 8               // a call that has outlasted its expected time is reckoned to need this part of it still
)

// runningCall is a call that holds a slot.
type runningCall struct {
	route    string
	admitted time.Time
	expected time.Duration
}

// remaining returns how long a call is expected to hold its slot still.
func (r *runningCall) remaining(now time.Time) time.Duration {
	return max(r.expected-now.Sub(r.admitted), r.expected/minRemainingDivisor)
}

// slotUsage follows how much of the slots the calls of each priority take.
type slotUsage struct {
	used    [priorities]float64 // seconds of slot time, fading
	updated time.Time
}

func (u *slotUsage) add(now time.Time, priority uint8, service time.Duration) {
	u.decay(now)
	u.used[rank(priority)] += service.Seconds()
}

func (u *slotUsage) decay(now time.Time) {
	factor := max(0, 1-now.Sub(u.updated).Seconds()/usageWindow.Seconds())
	for i := range u.used {
		u.used[i] *= factor
	}
	u.updated = now
}

// moreUrgentShare returns the part of the slots that calls more urgent than a priority take.
func (u *slotUsage) moreUrgentShare(now time.Time, priority uint8, slots int) float64 {
	u.decay(now)
	sum := 0.0
	for r := range rank(priority) {
		sum += u.used[r]
	}
	return min(maxUrgentShare, sum/(float64(max(1, slots))*usageWindow.Seconds()))
}

// expectedWait returns how long a call of a priority is expected to expectedWait for a slot, behind late calls too when it is late itself.
func (c *Core) expectedWait(now time.Time, priority uint8, late bool) time.Duration {
	if len(c.running) < c.limit && c.queue.size == 0 || c.limit == 0 {
		return 0
	}
	n, work := c.queue.workAhead(now, priority, late)
	remaining := c.remainingWork(now)
	// Fewer calls ahead than slots wait for the first of the running ones to end, more of them for all.
	d := (remaining + work) / time.Duration(c.limit)
	if n < c.limit && len(c.running) > 0 {
		d = min(d, 2*remaining/time.Duration(len(c.running))*time.Duration(n+1)/time.Duration(c.limit+1))
	}
	return time.Duration(float64(d) / (1 - c.usage.moreUrgentShare(now, priority, c.limit)))
}

// remainingWork returns the time that all running calls are expected to hold their slots still.
func (c *Core) remainingWork(now time.Time) time.Duration {
	var d time.Duration
	for _, r := range c.running {
		d += r.remaining(now)
	}
	return d
}

// expectedService returns the service time that is expected of a route's calls.
func (c *Core) expectedService(route string) time.Duration {
	if d := c.serviceTimes.routeMean(route); d > 0 {
		return d
	}
	return c.serviceTimes.mean
}

// worthWaiting tells whether a call that has become late can still expect its answer before its caller gives up.
func (c *Core) worthWaiting(now time.Time, w *waiter) bool {
	remaining := w.expiry.Add(w.service).Sub(now)
	return c.expectedWait(now, w.priority, true)+w.service <= time.Duration(maxLateShare*float64(remaining))
}
