package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	coldStartDivisor   = 3                      // a cold backend server starts with 1/3 of its slots
	minRetryAfter      = 10 * time.Millisecond  // shortest Retry-After
	notReadyRetryAfter = 500 * time.Millisecond // Retry-After while the backend server is not up
)

// Core is the admission control of one backend server: it decides which calls run, which are queued and which are refused. It is not safe for concurrent use.
type Core struct {
	Slots      int           // most requests that the backend server runs concurrently
	QueueLimit int           // most calls that may wait for a slot
	QueueWait  time.Duration // longest wait for a slot
	FixedLimit bool          // the backend server reports Slots itself and has no other clients, so a shed call does not lower the limit

	limit        int // concurrency limit, between 1 and Slots
	successes    int // calls answered since limit last changed
	lastDecrease time.Time
	running      map[uint64]*runningCall
	queue        callQueue
	serviceTimes serviceTimes
	usage        slotUsage
	slack        slackTracker
	health       HealthState
	draining     bool
	drainStart   time.Time
}

// Step applies one event at the given time and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.running == nil {
		c.running = map[uint64]*runningCall{}
		c.limit = c.initialLimit()
	}
	switch e := e.(type) {
	case Arrive:
		return c.arrive(now, e)
	case Abandon:
		c.queue.remove(e.Call)
	case Release:
		return c.release(now, e)
	case Tick:
		return c.admitQueued(now, c.refuseExpired(now, nil))
	case Configure:
		c.QueueLimit, c.QueueWait = e.Queue, e.QueueWait
		if e.Slots > 0 {
			c.Slots, c.limit = e.Slots, min(c.limit, e.Slots)
			if c.FixedLimit {
				c.limit = c.Slots
			}
		}
	case Drain:
		c.drain(now.Add(e.Grace))
	case Health:
		return c.setHealth(now, e.State)
	case Resume:
		c.draining = false
	}
	return nil
}

// initialLimit returns the concurrency limit of a cold backend server.
func (c *Core) initialLimit() int {
	if c.FixedLimit {
		return max(1, c.Slots)
	}
	return max(1, c.Slots/coldStartDivisor)
}

// InFlight returns the number of calls that hold a slot.
func (c *Core) InFlight() int { return len(c.running) }

// Load returns the free capacity, negative while more calls are queued than slots are free.
func (c *Core) Load(now time.Time) wire.Load {
	free := c.limit - len(c.running) - c.queue.size
	if c.limit == 0 {
		free = c.initialLimit()
	}
	if c.isLeaving(now) || c.health != HealthUp {
		free = min(free, 0)
	}
	return wire.Load{Free: int16(free), Slots: int16(c.Slots), Backlog: int32(c.backlog(c.queue.size).Milliseconds()), Service: int32(c.serviceTimes.mean.Milliseconds())}
}

// LoadFor returns the free capacity as seen by a call of the given route and priority.
func (c *Core) LoadFor(now time.Time, route string, priority uint8) wire.Load {
	l := c.Load(now)
	if d := c.serviceTimes.routeMean(route); d > 0 {
		l.Service = int32(d.Milliseconds())
	}
	if c.FixedLimit {
		l.Backlog = int32(c.expectedWait(now, priority, false).Milliseconds())
	}
	return l
}

// isLeaving reports whether new calls are refused because the backend server is draining.
func (c *Core) isLeaving(now time.Time) bool {
	return c.health == HealthDraining || c.draining && !now.Before(c.drainStart)
}

// backlog returns the expected wait of a call that has n calls ahead of it in the queue.
func (c *Core) backlog(n int) time.Duration {
	if len(c.running) < c.limit || c.limit == 0 {
		return 0
	}
	return c.serviceTimes.mean * time.Duration(n+1) / time.Duration(c.limit)
}

// WouldRefuse reports whether a call that arrived now would be refused, with the refusal. It does not change the state of the core.
func (c *Core) WouldRefuse(now time.Time, e Arrive) (Refuse, bool) {
	if r, ok := c.refuseUnavailable(now, e.Call); ok {
		return r.(Refuse), true
	}
	if c.limit == 0 || e.Objective == 0 || c.canStartNow(now, e.Priority) {
		return Refuse{}, false
	}
	_, r, ok := c.newWaiter(now, e)
	return r, !ok
}

// canStartNow reports whether a call of the given priority that arrived now would be admitted immediately.
func (c *Core) canStartNow(now time.Time, priority uint8) bool {
	return c.queue.countAhead(priority) == 0 && len(c.running) < c.limit-c.reservedSlots(now, priority)
}

func (c *Core) arrive(now time.Time, e Arrive) []Action {
	if refusal, ok := c.refuseUnavailable(now, e.Call); ok {
		return []Action{refusal}
	}
	out := c.refuseExpired(now, nil)
	if e.Objective > 0 {
		c.slack.add(now, e.Priority, e.Objective-c.expectedService(e.Route))
	}
	minService := c.serviceTimes.minimum(now, e.Route)
	switch {
	case e.Timeout > 0 && minService > e.Timeout:
		return append(out, c.refuse(e.Call, wire.ReasonDeadline))
	case c.canStartNow(now, e.Priority):
		return append(out, c.admit(now, e.Call, e.Route, e.Priority))
	case e.Objective != 0:
		w, refusal, ok := c.newWaiter(now, e)
		if !ok {
			return append(out, refusal)
		}
		c.queue.push(w)
		return append(out, Queue{Call: e.Call, Wait: w.expiry.Sub(now)})
	}
	return c.enqueue(now, e, minService, out)
}

// enqueue queues a call without an objective if it is expected to get a slot in time; otherwise it refuses the call at once.
func (c *Core) enqueue(now time.Time, e Arrive, minService time.Duration, out []Action) []Action {
	maxWait, reason := c.QueueWait, wire.ReasonQueueFull
	if e.Timeout > 0 && e.Timeout-minService < maxWait {
		maxWait, reason = e.Timeout-minService, wire.ReasonDeadline
	}
	if c.QueueLimit == 0 || c.backlog(c.queue.countAhead(e.Priority)) > maxWait {
		return append(out, c.refuse(e.Call, reason))
	}
	if c.queue.size >= c.QueueLimit {
		w, ok := c.queue.evictLower(e.Priority)
		if !ok {
			return append(out, c.refuse(e.Call, wire.ReasonQueueFull))
		}
		out = append(out, c.refuse(w.call, wire.ReasonQueueFull))
	}
	c.queue.push(waiter{call: e.Call, route: e.Route, priority: e.Priority, service: c.expectedService(e.Route), expiry: now.Add(maxWait), reason: reason})
	return append(out, Queue{Call: e.Call, Wait: maxWait})
}

// newWaiter returns the queue entry of a call that is expected to be answered within its objective or, if the call is final, within maxLateShare of its timeout. Any other call is refused at once.
func (c *Core) newWaiter(now time.Time, e Arrive) (waiter, Refuse, bool) {
	service := c.expectedService(e.Route)
	remaining := e.Timeout
	if remaining == 0 {
		remaining = c.QueueWait + service
	}
	w := waiter{
		call: e.Call, route: e.Route, priority: e.Priority, service: service,
		expiry: now.Add(min(c.QueueWait, remaining-service)), objective: now.Add(e.Objective), reason: wire.ReasonDeadline,
	}
	waitInTime := c.expectedWait(now, e.Priority, false)
	waitLate := c.expectedWait(now, e.Priority, true)
	switch {
	case c.queue.size >= c.QueueLimit:
		return w, Refuse{Call: e.Call, Reason: wire.ReasonQueueFull, RetryAfter: max(minRetryAfter, waitInTime)}, false
	case e.Patience > 0 && waitInTime > e.Patience:
		return w, Refuse{Call: e.Call, Reason: wire.ReasonQueueFull, RetryAfter: max(minRetryAfter, waitInTime)}, false
	case waitInTime+service <= e.Objective:
	case !e.Final, waitLate+service > time.Duration(maxLateShare*float64(remaining)):
		return w, Refuse{Call: e.Call, Reason: wire.ReasonQueueFull, RetryAfter: max(minRetryAfter, waitLate)}, false
	}
	return w, Refuse{}, true
}

// refuseUnavailable returns a refusal and true while the backend server is draining or not up.
func (c *Core) refuseUnavailable(now time.Time, call uint64) (Action, bool) {
	switch {
	case c.isLeaving(now):
		return Refuse{Call: call, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter}, true
	case c.health != HealthUp:
		return Refuse{Call: call, Reason: wire.ReasonNotReady, RetryAfter: notReadyRetryAfter}, true
	}
	return nil, false
}

func (c *Core) admit(now time.Time, call uint64, route string, priority uint8) Action {
	r := &runningCall{route: route, admitted: now, expected: c.expectedService(route)}
	c.running[call] = r
	c.usage.add(now, priority, r.expected)
	return Admit{Call: call}
}

// refuse returns a refusal whose Retry-After is the expected wait behind the queue.
func (c *Core) refuse(call uint64, reason wire.RefusalReason) Action {
	return Refuse{Call: call, Reason: reason, RetryAfter: max(minRetryAfter, c.backlog(c.queue.size))}
}

func (c *Core) release(now time.Time, e Release) []Action {
	r, ok := c.running[e.Call]
	if !ok {
		return nil
	}
	delete(c.running, e.Call)
	c.recordResult(now, r.route, e)
	return c.admitQueued(now, c.refuseExpired(now, nil))
}

// drain refuses new calls from the given time on; a second drain cannot postpone the first.
func (c *Core) drain(from time.Time) {
	if c.draining && c.drainStart.Before(from) {
		return
	}
	c.draining, c.drainStart = true, from
}

// recordResult adapts the concurrency limit: a shed call lowers it, and as many answers as the limit raise it by one.
func (c *Core) recordResult(now time.Time, route string, e Release) {
	switch e.Result {
	case ResultAnswered:
		c.serviceTimes.add(now, route, e.Took)
		c.successes++
		if c.successes >= c.limit && c.limit < c.Slots {
			c.limit++
			c.successes = 0
		}
	case ResultShed:
		if !c.FixedLimit {
			c.decreaseLimit(now)
		}
	}
}

// decreaseLimit lowers the limit by a quarter, at most once per mean service time.
func (c *Core) decreaseLimit(now time.Time) {
	c.successes = 0
	if now.Sub(c.lastDecrease) < max(c.serviceTimes.mean, minRetryAfter) {
		return
	}
	c.lastDecrease = now
	c.limit = max(1, c.limit-max(1, c.limit/4))
}

// refuseExpired refuses the queued calls whose wait has expired, and those past their objective that are not worth keeping.
func (c *Core) refuseExpired(now time.Time, out []Action) []Action {
	for _, w := range c.queue.removeExpired(now) {
		out = append(out, c.refuse(w.call, w.reason))
	}
	for _, w := range c.queue.removeLate(now, func(w *waiter) bool { return c.worthWaiting(now, w) }) {
		out = append(out, Refuse{Call: w.call, Reason: wire.ReasonQueueFull, RetryAfter: max(minRetryAfter, c.expectedWait(now, w.priority, true))})
	}
	return out
}

// admitQueued assigns free slots to queued calls.
func (c *Core) admitQueued(now time.Time, out []Action) []Action {
	for len(c.running) < c.limit {
		w, ok := c.queue.pop(now, c.maxAdmissibleRank(now))
		if !ok {
			break
		}
		out = append(out, c.admit(now, w.call, w.route, w.priority))
	}
	return out
}

// setHealth sets the state. A backend server that recovers from down is cold; one that goes down has its queued calls refused.
func (c *Core) setHealth(now time.Time, s HealthState) []Action {
	if s == HealthUp && c.health == HealthDown {
		c.limit = c.initialLimit()
		c.successes = 0
	}
	c.health = s
	if s != HealthDown {
		return nil
	}
	var out []Action
	for {
		w, ok := c.queue.pop(now, priorities-1)
		if !ok {
			return out
		}
		if r, ok := c.refuseUnavailable(now, w.call); ok {
			out = append(out, r)
		}
	}
}
