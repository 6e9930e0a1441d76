package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	slowStartDivisor   = 3                      // slow start: a backend server that has just started or recovered gets 1/3 of its slots
	minRetryAfter      = 10 * time.Millisecond  // shortest Retry-After
	notReadyRetryAfter = 500 * time.Millisecond // Retry-After while the backend server is not up
)

// Core is the admission control of one backend server: it decides which calls run, which are queued and which are refused. It is not safe for concurrent use.
type Core struct {
	Slots      int           // most requests that the backend server runs concurrently
	QueueLimit int           // most calls that may wait for a slot
	QueueWait  time.Duration // longest wait for a slot

	// FixedLimit keeps the concurrency limit at Slots: there is no slow start, and a shed call does not lower the limit.
	// Set it if the backend server reports its slots and has no other clients: a shed call then says nothing about its slots.
	// It also turns on the reservation of slots for more urgent calls and the wait by priority in LoadFor.
	FixedLimit bool

	Policy Policy // order of the queued calls with an objective, empty for PolicyPriority

	LinkRate float64 // bytes per second of the network connection of this VM, 0 to ignore the time that answers take on it

	limit          int // concurrency limit, between 1 and Slots; 0 before the first event
	successes      int // answered calls counted towards the next increase of limit
	lastDecrease   time.Time
	holdUntil      time.Time // the limit does not rise before, see lowerToAccepted
	running        map[uint64]*runningCall
	queue          callQueue
	serviceTimes   serviceTimeEstimator
	usage          slotUsage
	slack          slackTracker
	shares         kindShares // with PolicyValue
	lost           lostRuns
	candidates     []candidate // buffer of replan
	rate           callRate
	speed          vmSpeed
	health         HealthState
	drainRequested bool
	drainStart     time.Time // time from which new calls are refused
	leaveBy        time.Time // the leaving backend server may end then, zero if it is not leaving
}

// Step applies one event at the given time, which must not precede that of the event before, and returns the resulting actions.
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
	case Leave:
		return c.startLeave(now, e.Within)
	case Health:
		return c.setHealth(now, e.State)
	case CallLimit:
		c.rate.apply(now, e, c.serviceTimes.mean)
		return c.admitQueued(now, c.refuseExpired(now, nil))
	case Speed:
		c.speed.tracker.Record(now, e.Percent, &c.speed.memory)
	case Sent:
		if r := c.running[e.Call]; r != nil {
			r.sent = now
		}
	case Reported:
		return c.reported(now, e)
	case Resume:
		c.drainRequested, c.leaveBy = false, time.Time{}
	}
	return nil
}

// initialLimit returns the concurrency limit of a backend server that has just started or recovered.
func (c *Core) initialLimit() int {
	if c.FixedLimit {
		return max(1, c.Slots)
	}
	return max(1, c.Slots/slowStartDivisor)
}

// InFlight returns the number of calls that hold a slot.
func (c *Core) InFlight() int { return len(c.running) }

// Load returns the load for the caller's daemon. Free is the concurrency limit minus the running and the queued calls, or fewer under a limit that the backend server has named, so it may be negative;
// it is at most 0 while isDraining holds or the backend server is not up. Slots is the number of slots of the backend server.
// Backlog is the expected wait of a further call and Service the mean service time at usual speed,
// both in milliseconds.
func (c *Core) Load(now time.Time) wire.Load {
	free := c.limit - c.busySlots() - c.queue.size
	if c.limit == 0 {
		free = c.initialLimit()
	}
	if c.rate.limited {
		free = min(free, c.rate.free(now)-c.queue.size)
	}
	if c.isDraining(now) || c.health != HealthUp {
		free = min(free, 0)
	}
	return wire.Load{Free: int16(free), Slots: int16(c.Slots), Backlog: int32(c.meanWaitBehind(now, c.queue.size).Milliseconds()), Service: int32(c.serviceTimes.mean.Milliseconds())}
}

// LoadFor returns Load with the mean service time of the route, if it is known, and, with FixedLimit, the expected wait of a call of the given priority.
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

// meanWaitBehind returns the expected wait of a call that has n calls ahead of it in the queue, estimated from the mean service time alone.
// It is used for calls without an objective, for the Retry-After of newRefusal and in Load; for calls with an objective, expectedWait estimates more closely.
func (c *Core) meanWaitBehind(now time.Time, n int) time.Duration {
	if c.busySlots() < c.limit || c.limit == 0 {
		return c.rate.wait(now, n)
	}
	return max(c.rate.wait(now, n), c.atCurrentSpeed(now, c.serviceTimes.mean)*time.Duration(n+1)/time.Duration(c.limit))
}

// WouldRefuse returns a refusal and true if a call that arrived now would be refused because isDraining holds or the backend server is not up
// or, if the call has an objective and no slot is free for it or its answer takes time on the network connection, for one of the reasons of waiterOrRefusal. False does not mean that the call would be admitted:
// whether the timeout leaves enough time to run the call is not checked, nor is the queue for a call without an objective. The queue and the slots stay unchanged.
func (c *Core) WouldRefuse(now time.Time, e Arrive) (Refuse, bool) {
	if r, refused := c.unavailableRefusal(now, now.Add(-e.Waited), e.Call); refused {
		return r.(Refuse), true
	}
	if c.limit == 0 || e.Objective == 0 || c.canStartNow(now, e.Priority) && c.transferTime(e) == 0 {
		return Refuse{}, false
	}
	decide := c.waiterOrRefusal
	if c.Policy == PolicyValue && !c.canStartNow(now, e.Priority) {
		decide = c.plannedWaiter
	}
	_, r, accepted := decide(now, e)
	c.replan(now)
	return r, !accepted
}

// canStartNow reports whether a call of the given priority that arrived now would be admitted immediately.
func (c *Core) canStartNow(now time.Time, priority uint8) bool {
	return c.queue.countAhead(priority) == 0 && c.busySlots() < c.limit-c.reservedSlots(now, priority) && c.rate.available(now)
}

func (c *Core) arrive(now time.Time, e Arrive) []Action {
	if refusal, refused := c.unavailableRefusal(now, now.Add(-e.Waited), e.Call); refused {
		return []Action{refusal}
	}
	c.countOffer(e)
	actions := c.refuseExpired(now, nil)
	if c.rate.limited {
		actions = c.admitQueued(now, actions) // the Tick for a queued call may still be to come
	}
	if e.Objective > 0 {
		c.slack.add(now, e.Priority, e.Objective-c.expectedServiceTime(now, e.Route))
	}
	lowServiceTime := c.lowServiceTime(now, e.Route)
	if e.Timeout > 0 && lowServiceTime > e.Timeout {
		return append(actions, c.newRefusal(now, e.Call, wire.ReasonDeadline))
	}
	canStart := c.canStartNow(now, e.Priority)
	switch {
	case e.Objective != 0 && (!canStart || c.transferTime(e) > 0):
		if c.Policy == PolicyValue && !canStart {
			return c.valueArrival(now, e, actions)
		}
		w, refusal, accepted := c.waiterOrRefusal(now, e)
		if !accepted {
			return append(actions, refusal)
		}
		if canStart {
			return append(actions, c.admit(now, w))
		}
		c.queue.push(w)
		return append(actions, Queue{Call: e.Call, Wait: w.expiry.Sub(now)})
	case canStart:
		return append(actions, c.admit(now, c.newWaiter(now, e)))
	}
	return c.enqueue(now, e, lowServiceTime, actions)
}

// newWaiter returns the queue entry of a call without its expiry.
func (c *Core) newWaiter(now time.Time, e Arrive) waiter {
	w := waiter{
		call: e.Call, route: e.Route, priority: e.Priority, final: e.Final,
		serviceTime: c.expectedServiceTime(now, e.Route), transferTime: c.transferTime(e), reason: wire.ReasonDeadline,
	}
	if e.Objective != 0 {
		w.objectiveTime = now.Add(e.Objective - w.transferTime)
	}
	return w
}

// enqueue queues a call without an objective if it is expected to get a slot within QueueWait and early enough to meet its deadline; otherwise it refuses the call at once.
// If the queue is full, a less urgent call is refused in its place, if there is one.
func (c *Core) enqueue(now time.Time, e Arrive, lowServiceTime time.Duration, actions []Action) []Action {
	maxWait, reason := c.QueueWait, wire.ReasonQueueFull
	if e.Timeout > 0 && e.Timeout-lowServiceTime < maxWait {
		maxWait, reason = e.Timeout-lowServiceTime, wire.ReasonDeadline
	}
	if c.QueueLimit == 0 || c.meanWaitBehind(now, c.queue.countAhead(e.Priority)) > maxWait {
		return append(actions, c.newRefusal(now, e.Call, reason))
	}
	if c.queue.size >= c.QueueLimit {
		w, ok := c.queue.evictLessUrgent(e.Priority)
		if !ok {
			return append(actions, c.newRefusal(now, e.Call, wire.ReasonQueueFull))
		}
		actions = append(actions, c.newRefusal(now, w.call, wire.ReasonQueueFull))
	}
	w := c.newWaiter(now, e)
	w.expiry, w.reason = now.Add(maxWait), reason
	c.queue.push(w)
	return append(actions, Queue{Call: e.Call, Wait: maxWait})
}

// waiterOrRefusal returns the queue entry of a call with an objective and true, or the refusal of the call and false.
//
// The call is refused if the queue is full, if its expected wait exceeds its patience, or if it is expected to miss its objective.
// A final call that is expected to miss its objective is still queued if its answer is expected within maxLateShare of the time left
// until its deadline; a call without a deadline counts as having QueueWait plus its expected service time left.
func (c *Core) waiterOrRefusal(now time.Time, e Arrive) (waiter, Refuse, bool) {
	w := c.newWaiter(now, e)
	answerTime := w.serviceTime + w.transferTime
	timeLeft := e.Timeout
	if timeLeft == 0 {
		timeLeft = c.QueueWait + answerTime
	}
	w.expiry = now.Add(min(c.QueueWait, timeLeft-answerTime))
	ahead := e
	if c.wouldBePromoted(&w) {
		ahead.Priority = 0
	}
	wait := c.expectedAnswerWait(now, ahead, w.serviceTime, false)
	waitIfLate := c.expectedAnswerWait(now, e, w.serviceTime, true)
	switch {
	case c.queue.size >= c.QueueLimit:
		return w, Refuse{Call: e.Call, Reason: wire.ReasonQueueFull, RetryAfter: retryAfter(wait)}, false
	case e.Patience > 0 && wait > e.Patience:
		return w, Refuse{Call: e.Call, Reason: wire.ReasonQueueFull, RetryAfter: retryAfter(wait)}, false
	case wait+answerTime <= e.Objective:
	case !e.Final, waitIfLate+answerTime > time.Duration(maxLateShare*float64(timeLeft)):
		return w, Refuse{Call: e.Call, Reason: wire.ReasonQueueFull, RetryAfter: retryAfter(waitIfLate)}, false
	}
	return w, Refuse{}, true
}

func (c *Core) admit(now time.Time, w waiter) Action {
	r := &runningCall{route: w.route, admitted: now, expected: c.expectedServiceTime(now, w.route), progress: c.speed.tracker.Progress(now), transferTime: w.transferTime, objectiveTime: w.objectiveTime}
	c.running[w.call] = r
	c.countAdmission(&w)
	if c.Policy == PolicyValue && !w.late(now) {
		c.shares.use(now, w.kind(), r.expected)
	}
	c.rate.take(now, w.priority, w.late(now), c.serviceTimes.mean)
	c.usage.add(now, w.priority, w.late(now), r.expected)
	return Admit{Call: w.call}
}

// newRefusal returns a refusal whose Retry-After is the expected wait behind the queue.
func (c *Core) newRefusal(now time.Time, call uint64, reason wire.RefusalReason) Action {
	return Refuse{Call: call, Reason: reason, RetryAfter: retryAfter(c.meanWaitBehind(now, c.queue.size))}
}

// retryAfter returns the Retry-After for an expected wait. Under a limit of 0, it is the time until
// that limit is checked.
func retryAfter(wait time.Duration) time.Duration {
	if wait >= maxRateWait {
		return limitCheckAge
	}
	return max(minRetryAfter, wait)
}

func (c *Core) release(now time.Time, e Release) []Action {
	r, ok := c.running[e.Call]
	if !ok {
		return nil
	}
	delete(c.running, e.Call)
	c.lost.released(now, e.Result)
	e.Took = c.speed.tracker.Normal(now, e.Took, r.progress)
	c.adaptLimit(now, r.route, e)
	return c.admitQueued(now, c.refuseExpired(now, nil))
}

// refuseExpired refuses the queued calls whose wait has expired, those that a leaving backend server cannot run any more, and the late ones for which worthWaiting is false:
// calls in time that keep arriving precede a late one, so that its wait may become hopeless long before it expires.
func (c *Core) refuseExpired(now time.Time, actions []Action) []Action {
	for _, w := range c.queue.removeExpired(now) {
		actions = append(actions, c.newRefusal(now, w.call, w.reason))
	}
	c.replan(now)
	waits := map[uint8]time.Duration{} // of late calls by priority
	lateWait := func(w *waiter) time.Duration {
		if _, ok := waits[w.priority]; !ok {
			waits[w.priority] = c.expectedWait(now, w.priority, true)
		}
		return waits[w.priority]
	}
	for _, w := range c.queue.removeLate(now, func(w *waiter) bool { return worthWaiting(now, w, lateWait(w)) }) {
		actions = append(actions, Refuse{Call: w.call, Reason: wire.ReasonQueueFull, RetryAfter: c.lateRetryAfter(now, &w, lateWait(&w))})
	}
	return c.refuseUnreachable(now, actions)
}

// admitQueued admits queued calls while slots are free and the limit that the backend server has
// named allows it. With PolicyValue the queue must be planned, as refuseExpired does.
func (c *Core) admitQueued(now time.Time, actions []Action) []Action {
	for c.busySlots() < c.limit && c.rate.available(now) {
		w, ok := c.queue.pop(now, c.maxAdmissibleRank(now))
		if !ok {
			break
		}
		actions = append(actions, c.admit(now, w))
		c.replan(now)
	}
	return actions
}

// NextTick returns the time until the Core needs a Tick because a queued call, for which a slot is
// free, waits for the limit that the backend server has named, or because the backend server is
// leaving; it reports false if there is none.
func (c *Core) NextTick(now time.Time) (time.Duration, bool) {
	if d, ok := c.nextLeaveCheck(now); ok {
		return d, true
	}
	if !c.rate.limited || c.queue.size == 0 || c.busySlots() >= c.limit {
		return 0, false
	}
	d := c.rate.wait(now, 0)
	return d, d > 0 // without a wait, the free slots are reserved, and a release admits the call
}
