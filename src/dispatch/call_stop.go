package dispatch

import (
	"math"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/drain"
	"github.com/yuccaport/yuccaport/src/wire"
)

// boundByStop sets the time in which the call must end if the proxy is stopping.
func (c *call) boundByStop(e *CallArrived) {
	plan := c.proxy.plan.Load()
	if plan == nil {
		return
	}
	now := clock.NowWithSuspension()
	e.EndWithin = max(1, plan.Left(now, plan.LastAnswer)) // 0 would mean no stop
	switch {
	case plan.Phase(now) < drain.PhaseFinish:
	case !c.body.isComplete():
		e.Longest = math.MaxInt64 // an upload may take any time
	default:
		e.Longest = max(1, e.Remaining)
	}
}

// owesAnswers reports whether this daemon is stopping, or takes over from one that has just been stopped.
func (c *Core) owesAnswers(now time.Time) bool {
	return !c.endBy.IsZero() || now.Sub(c.startedAt) < c.Settings.StopGrace
}

// endsInTime reports whether an attempt at the chosen server is expected to end before the last answer of this daemon's planned stop. That of a route whose answers are unknown, from another VM, may take until the call's deadline.
func (c *Core) endsInTime(now time.Time, cs *callState, ch choice) bool {
	if c.endBy.IsZero() {
		return true
	}
	if k := cs.routeKey(); ch.server.ID != c.self && !c.answerSizes.isKnown(k) && !c.answerTimes.isKnown(k) {
		return cs.deadline.Before(c.endBy)
	}
	serviceTime := ch.server.serviceTime(now, cs.policy.Route)
	transfer := max(c.transferTime(ch.server, cs), c.answerTimes.usual(cs.routeKey()))
	return now.Add(transfer + c.expectedAnswerWait(now, ch.server, cs, serviceTime) + serviceTime).Before(c.endBy)
}

// endAtShutdown refuses a call that is still in flight at the last answer of a planned stop.
//
// An answer that has arrived in part is passed on instead, until the kill.
//
// A payment is not refused: it continues until the proxy is killed, and its repeat is answered with the outcome if it ends by then.
func (c *call) endAtShutdown() {
	if c.payment != nil {
		c.abortCall()
		return
	}
	for _, a := range c.attempts {
		if a != nil && a.passOnHeld() {
			return
		}
	}
	if len(c.results) > 0 {
		return
	}
	sent := c.attempts[1] != nil
	c.perform(c.proxy.step(CallerGone{Call: c.id}))
	c.refuse(RefuseCall{Call: c.id, Reason: wire.ReasonLeaving, MayHaveRun: sent, RetryAfter: minRetryAfter})
}
