package booking

import "time"

const (
	urgentMemory = 2 * time.Second // for which the share of slots that urgent calls take is averaged
	maxUrgent    = 0.9             // of the slots; less urgent calls are never reckoned to get none
	lateShare    = 0.7             // of the time left that a late call may be expected to take
	leastLeft    = 8               // a call that has outlasted its expected time is reckoned to need this part of it still
)

// running is a call that holds a slot.
type running struct {
	route    string
	since    time.Time
	expected time.Duration
}

// left returns how long a call is expected to hold its slot still.
func (r *running) left(now time.Time) time.Duration {
	return max(r.expected-now.Sub(r.since), r.expected/leastLeft)
}

// urgency follows how much of the slots the calls of each priority take.
type urgency struct {
	used [priorities]float64 // seconds of slot time, fading
	at   time.Time
}

func (u *urgency) add(now time.Time, priority uint8, service time.Duration) {
	u.fade(now)
	u.used[rank(priority)] += service.Seconds()
}

func (u *urgency) fade(now time.Time) {
	keep := max(0, 1-now.Sub(u.at).Seconds()/urgentMemory.Seconds())
	for i := range u.used {
		u.used[i] *= keep
	}
	u.at = now
}

// share returns the part of the slots that calls more urgent than a priority take.
func (u *urgency) share(now time.Time, priority uint8, slots int) float64 {
	u.fade(now)
	sum := 0.0
	for r := range rank(priority) {
		sum += u.used[r]
	}
	return min(maxUrgent, sum/(float64(max(1, slots))*urgentMemory.Seconds()))
}

// wait returns how long a call of a priority is expected to wait for a slot, behind late calls too when it is late itself.
func (c *Core) wait(now time.Time, priority uint8, late bool) time.Duration {
	if len(c.running) < c.limit && c.queue.size == 0 || c.limit == 0 {
		return 0
	}
	n, work := c.queue.ahead(now, priority, late)
	left := c.remaining(now)
	// Fewer calls ahead than slots wait for the first of the running ones to end, more of them for all.
	d := (left + work) / time.Duration(c.limit)
	if n < c.limit && len(c.running) > 0 {
		d = min(d, 2*left/time.Duration(len(c.running))*time.Duration(n+1)/time.Duration(c.limit+1))
	}
	return time.Duration(float64(d) / (1 - c.urgent.share(now, priority, c.limit)))
}

// remaining returns the time that all running calls are expected to hold their slots still.
func (c *Core) remaining(now time.Time) time.Duration {
	var d time.Duration
	for _, r := range c.running {
		d += r.left(now)
	}
	return d
}

// expect returns the service time that is expected of a route's calls.
func (c *Core) expect(route string) time.Duration {
	if d := c.times.expected(route); d > 0 {
		return d
	}
	return c.times.mean
}

// worthWaiting tells whether a call that has become late can still expect its answer before its caller gives up.
func (c *Core) worthWaiting(now time.Time, w *waiter) bool {
	left := w.until.Add(w.service).Sub(now)
	return c.wait(now, w.priority, true)+w.service <= time.Duration(lateShare*float64(left))
}
