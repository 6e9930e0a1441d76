package booking

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// kindPlan holds what the calls of one kind have in common in a plan.
type kindPlan struct {
	kind            kind
	cost, deviation time.Duration
	stretch         float64
	starved         bool
	first           *waiter // with the earliest latest start, if starved
}

// replan promotes calls of starved kinds and, with PolicyValue, decides which queued calls are planned
// to be in time. The others count as late until the next plan.
func (c *Core) replan(now time.Time) {
	if c.limit == 0 || c.queue.size == 0 {
		return
	}
	if c.Policy != PolicyValue {
		c.promoteStarved(now)
		return
	}
	var kinds []*kindPlan // few, so that a search costs less than hashing the route of each call
	calls := c.candidates[:0]
	for r := range c.queue.byRank {
		for i := range c.queue.byRank[r] {
			w := &c.queue.byRank[r][i]
			w.leftOut, w.promoted, w.plannedWait = false, false, 0
			if w.late(now) {
				continue
			}
			n := slices.IndexFunc(kinds, func(k *kindPlan) bool { return k.kind.rank == r && k.kind.route == w.route })
			if n < 0 {
				n = len(kinds)
				kinds = append(kinds, c.newKindPlan(now, w))
			}
			k := kinds[n]
			cand := candidate{waiter: w, kind: k, rank: r, latestStart: w.latestStart().Sub(now), work: w.serviceTime, cost: k.cost, stretch: k.stretch}
			if !w.objectiveTime.IsZero() {
				cand.latestStart -= 2 * k.deviation
			}
			if k.starved && (k.first == nil || w.latestStart().Before(k.first.latestStart())) {
				k.first = w
			}
			calls = append(calls, cand)
		}
	}
	for i := range calls {
		if w := calls[i].waiter; calls[i].kind.first == w {
			w.promoted, calls[i].rank, calls[i].stretch = true, -1, 1
		}
	}
	c.planner(now).plan(calls)
	for i, cand := range calls {
		w := cand.waiter
		w.leftOut, w.plannedWait, w.order = cand.out && !w.objectiveTime.IsZero(), cand.start, i
	}
	clear(calls)
	c.candidates = calls
}

func (c *Core) newKindPlan(now time.Time, w *waiter) *kindPlan {
	k := &kindPlan{kind: w.kind(), cost: c.countedWork(w.route), deviation: c.serviceTimes.routeDeviation(w.route), starved: c.shares.isStarved(w.kind())}
	k.stretch = c.stretch(now, w, k.cost)
	return k
}

// stretch returns the factor by which calls that arrive later and precede a queued call lengthen
// its wait: more urgent ones and those of its rank that need less slot time.
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

// valueArrival queues a call with an objective if it is planned to be in time, or as a late call if
// it is final and worth waiting; otherwise it refuses the call.
// Calls that the new one displaces are refused, or wait as late calls.
func (c *Core) valueArrival(now time.Time, e Arrive, actions []Action) []Action {
	w, refusal, accepted := c.plannedWaiter(now, e)
	if !accepted {
		c.replan(now)
		return append(actions, refusal)
	}
	c.queue.push(w)
	actions = append(actions, Queue{Call: e.Call, Wait: w.expiry.Sub(now)})
	return c.admitQueued(now, c.refuseExpired(now, actions))
}

// plannedWaiter is waiterOrRefusal for PolicyValue. It leaves the queue planned as if it held the call.
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

// returnTime returns the Retry-After of a call that is refused with the given expected wait: while
// it could still be in time, half of the time until its latest start.
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
