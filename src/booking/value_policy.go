package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// replan decides which queued calls are planned to be in time. The others count as late until the next plan. It does nothing unless Policy is PolicyValue.
func (c *Core) replan(now time.Time) {
	if c.Policy != PolicyValue || c.limit == 0 || c.queue.size == 0 {
		return
	}
	starved := map[kind]*waiter{} // the first call of each starved kind
	for r := range c.queue.byRank {
		for i := range c.queue.byRank[r] {
			w := &c.queue.byRank[r][i]
			w.leftOut, w.promoted, w.plannedWait = false, false, 0
			if first := starved[w.kind()]; !w.late(now) && c.shares.isStarved(w.kind()) && (first == nil || w.latestStart().Before(first.latestStart())) {
				starved[w.kind()] = w
			}
		}
	}
	for _, w := range starved {
		w.promoted = true
	}
	var calls []*candidate
	for r := range c.queue.byRank {
		for i := range c.queue.byRank[r] {
			w := &c.queue.byRank[r][i]
			if w.late(now) {
				continue
			}
			cand := &candidate{waiter: w, rank: r, latestStart: w.latestStart().Sub(now), work: w.serviceTime, cost: c.countedWork(w.route)}
			if !w.objectiveTime.IsZero() {
				cand.latestStart -= 2 * c.serviceTimes.routeDeviation(w.route)
			}
			if w.promoted {
				cand.rank, cand.stretch = -1, 1
			} else {
				cand.stretch = c.stretch(now, w, cand.cost)
			}
			calls = append(calls, cand)
		}
	}
	c.planner(now).plan(calls)
	for i, cand := range calls {
		w := cand.waiter
		w.leftOut, w.plannedWait, w.order = cand.out && !w.objectiveTime.IsZero(), cand.start, i
	}
}

// stretch returns the factor by which calls that arrive later and precede a queued call lengthen its wait: more urgent ones and those of its rank that need less slot time.
func (c *Core) stretch(now time.Time, w *waiter, cost time.Duration) float64 {
	share := c.usage.precedingShare(now, w.priority, false, c.limit)
	for k, n := range c.shares.kinds {
		if k.rank == rank(w.priority) && k.route != w.route && c.countedWork(k.route) < cost {
			share += n.usedAt(now) / (float64(c.limit) * usageWindow.Seconds())
		}
	}
	return 1 / (1 - min(maxUrgentShare, share))
}

// countedWork returns the usual service time of a route within the bounds of maxWorkFactor.
func (c *Core) countedWork(route string) time.Duration {
	mean := c.serviceTimes.mean
	return min(max(c.usualServiceTime(route), mean/maxWorkFactor), mean*maxWorkFactor)
}

func (c *Core) planner(now time.Time) planner {
	p := planner{
		minWait: func(n int) time.Duration { return c.rate.wait(now, n) },
	}
	for _, r := range c.running {
		p.free = append(p.free, c.remainingTime(now, r))
	}
	for len(p.free) < c.limit {
		p.free = append(p.free, 0)
	}
	return p
}

// valueArrival queues a call with an objective if it is planned to be in time, or as a late call if it is final and worth waiting; otherwise it refuses the call.
// Calls that the new one displaces are refused, or wait as late calls.
func (c *Core) valueArrival(now time.Time, e Arrive, actions []Action) []Action {
	w, refusal, accepted := c.plannedWaiter(now, e)
	if !accepted {
		return append(actions, refusal)
	}
	c.queue.push(w)
	actions = append(actions, Queue{Call: e.Call, Wait: w.expiry.Sub(now)})
	return c.admitQueued(now, c.refuseExpired(now, actions))
}

// plannedWaiter is waiterOrRefusal for PolicyValue. It leaves the queue as it is.
func (c *Core) plannedWaiter(now time.Time, e Arrive) (waiter, Refuse, bool) {
	w := c.newWaiter(now, e)
	answerTime := w.serviceTime + w.transferTime
	timeLeft := e.Timeout
	if timeLeft == 0 {
		timeLeft = c.QueueWait + answerTime
	}
	w.expiry = now.Add(min(c.QueueWait, timeLeft-answerTime))
	c.queue.push(w)
	c.replan(now)
	r := rank(w.priority)
	w = c.queue.removeAt(r, len(c.queue.byRank[r])-1)
	c.replan(now)
	wait := w.plannedWait
	if c.transferTime(e) > 0 {
		wait = max(wait, c.linkWait(now, e, false)-w.serviceTime)
	}
	refusal := Refuse{Call: e.Call, Reason: wire.ReasonQueueFull}
	switch {
	case c.queue.size >= c.QueueLimit, e.Patience > 0 && wait > e.Patience && !w.leftOut:
		refusal.RetryAfter = c.returnTime(now, &w, wait)
		return w, refusal, false
	case !w.late(now) && wait+answerTime <= e.Objective:
		return w, Refuse{}, true
	}
	wait = c.expectedAnswerWait(now, e, w.serviceTime, true)
	if !e.Final || wait+answerTime > time.Duration(maxLateShare*float64(timeLeft)) {
		refusal.RetryAfter = c.returnTime(now, &w, wait)
		return w, refusal, false
	}
	return w, Refuse{}, true
}

// returnTime returns the Retry-After of a call that is refused with the given expected wait: while it could still be in time, half of the time until its latest start.
// Its latest start then precedes those of newcomers of its kind, so that plan leaves them out before it.
func (c *Core) returnTime(now time.Time, w *waiter, wait time.Duration) time.Duration {
	if slack := w.latestStart().Sub(now); !w.objectiveTime.IsZero() && slack > 0 {
		wait = min(wait, slack/2)
	}
	return retryAfter(wait)
}

// lateRetryAfter returns the Retry-After of a queued call that is refused because it is late.
func (c *Core) lateRetryAfter(now time.Time, w *waiter, wait time.Duration) time.Duration {
	if c.Policy == PolicyValue {
		return c.returnTime(now, w, wait)
	}
	return retryAfter(wait)
}
