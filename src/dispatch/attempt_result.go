package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// attemptAnswered accepts an answer, or retries the call if the server was unavailable.
func (c *Core) attemptAnswered(now time.Time, e AttemptAnswered) []Action {
	cs := c.calls[e.Call]
	if cs == nil || cs.accepted {
		return nil
	}
	a := cs.activeAttempt(e.Attempt)
	if a == nil {
		return nil
	}
	a.server.removeUnanswered(a)
	a.endTrial()
	c.sharedVMs = c.sharedVMs || e.Load.Speed > 0
	a.server.recordLoad(now, cs.policy.Route, e.Load)
	if e.Leaving {
		c.leaving.add(now, a.server.Addr, a.backendStart)
		a.server.leaving = c.leaving.contains(a.server.Member)
	}
	c.observeAnswer(now, a.server, e.Status, now.Sub(a.sentAt)-e.Held)
	if e.Size >= 0 && e.Status < 300 {
		c.answerSizes.add(cs.routeKey(), e.Size)
	}
	if isUnavailable(e.Status) && cs.policy.Idempotent {
		if out, ok := c.retryAnswered(now, cs, e.Attempt); ok {
			return out
		}
	}
	cs.accepted, cs.acceptedAt = true, now.Add(-e.Held)
	return append(c.cancelOthers(now, cs, e.Attempt), AcceptAnswer{Call: cs.id, Attempt: e.Attempt})
}

// retryAnswered cancels an answered attempt in favour of another active attempt that is not doubted or of a retry; it reports false if there is neither.
func (c *Core) retryAnswered(now time.Time, cs *callState, number int) ([]Action, bool) {
	cancel := CancelAttempt{Call: cs.id, Attempt: number}
	if cs.awaitsOther(number) {
		cs.attempts[number-1].end()
		cs.mayHaveRun = true
		return []Action{cancel}, true
	}
	out, ok := c.retry(now, cs, true)
	if !ok {
		return nil, false
	}
	cs.attempts[number-1].end()
	cs.mayHaveRun = true
	return append([]Action{cancel}, out...), true
}

// isUnavailable reports whether an answer's status means that the server could not serve the call and another one may: 502, 503 or 504.
func isUnavailable(status int) bool { return status >= 502 && status <= 504 }

// attemptRefused retries the call if that is allowed, or refuses it.
func (c *Core) attemptRefused(now time.Time, e AttemptRefused) []Action {
	cs := c.calls[e.Call]
	if cs == nil || cs.accepted {
		return nil
	}
	a := cs.activeAttempt(e.Attempt)
	if a == nil {
		return nil
	}
	a.end()
	c.sharedVMs = c.sharedVMs || e.Load.Speed > 0
	a.server.recordLoad(now, cs.policy.Route, e.Load)
	if isDeparture(e.Reason) {
		c.markDeparted(now, a, e.StartedAt)
	} else {
		if e.Reason != wire.ReasonConnect && e.Reason != wire.ReasonLinkLost {
			a.endTrial()
		}
		c.observeFailure(now, a.server, e.Reason, e.Load)
	}
	cs.retriesCharged = cs.retriesCharged || e.MayHaveRun || e.Reason == wire.ReasonShed
	if e.MayHaveRun {
		cs.mayHaveRun = true
	} else {
		cs.notRunCount++
		c.recordVersionRefusal(cs, a, e.Reason)
		a.full = e.Reason == wire.ReasonQueueFull
	}
	cs.bodyConsumed = cs.bodyConsumed || e.BodyConsumed
	switch e.Reason {
	case wire.ReasonQuarantined:
		cs.isSuspect = true
	case wire.ReasonCrashed:
		cs.crashes++
		cs.isSuspect = cs.isSuspect || e.Repeated || cs.crashes >= maxCrashesOfCall
	}
	return c.retryOrRefuse(now, cs, e.Reason, e.RetryAfter)
}

// attemptDoubted sends a further attempt if the doubted one could be retried after a refusal. The doubted one goes on, and the first answer is accepted.
//
// Where no further attempt can be sent beside silent ones, an idempotent call is refused, so that its caller may repeat it elsewhere. A daemon that stops, or that has started in the place of one that did, owes the answer.
func (c *Core) attemptDoubted(now time.Time, e AttemptDoubted) []Action {
	cs := c.calls[e.Call]
	if cs == nil || cs.accepted {
		return nil
	}
	a := cs.activeAttempt(e.Attempt)
	if a == nil || a.doubted {
		return nil
	}
	a.doubted, a.silent = true, e.Silent
	if e.Silent {
		c.observeFailure(now, a.server, wire.ReasonLinkLost, Load{})
	}
	cs.retriesCharged = true
	cs.bodyConsumed = cs.bodyConsumed || e.BodyConsumed
	if cs.awaitsOther(e.Attempt) {
		return nil
	}
	out, ok := c.retry(now, cs, false)
	if ok || !cs.policy.Idempotent || c.owesAnswers(now) || !cs.isSilent() {
		return out
	}
	cs.mayHaveRun = true
	return append(c.cancelOthers(now, cs, 0), c.refuseCall(cs, wire.ReasonLinkLost, 0)...)
}

// retryOrRefuse continues a call after an attempt without an answer: it retries or refuses the call, unless another attempt is active. Beside doubted attempts alone it retries too.
func (c *Core) retryOrRefuse(now time.Time, cs *callState, reason wire.RefusalReason, retryAfter time.Duration) []Action {
	if cs.awaitsOther(0) {
		return nil
	}
	if out, ok := c.retry(now, cs, isOverload(reason)); ok {
		return out
	}
	if cs.activeAttempts() > 0 {
		return nil
	}
	return c.refuseCall(cs, reason, retryAfter)
}

// retry sends another attempt to a server not yet tried, or to one of the fallback; it reports false if none is sent. The attempt takes a token from the retry budget, unless the call has an objective and none of its attempts was refused as possibly run or as shed.
//
// With requireInTime the server must be expected to answer in time; a call with an objective may be sent once to one that is not.
func (c *Core) retry(now time.Time, cs *callState, requireInTime bool) ([]Action, bool) {
	if !cs.mayRetry(now) {
		return nil, false
	}
	c.selectVersion(now, cs, cs.service)
	ch, ok := c.chooseServer(now, cs.policy, cs.service, cs)
	if !ok && cs.policy.Fallback != "" {
		c.returnExposure(cs)
		c.selectVersion(now, cs, cs.policy.Fallback)
		ch, ok = c.chooseServer(now, cs.policy, cs.policy.Fallback, cs)
	}
	if !ok || !c.endsInTime(now, cs, ch) {
		return nil, false
	}
	if requireInTime && !c.isInTime(now, cs, ch) {
		if cs.objective.IsZero() || cs.final {
			return nil, false
		}
		cs.final = true
	}
	if (cs.retriesCharged || cs.objective.IsZero()) && !c.services[ch.server.Service].budget.take(!cs.policy.Idempotent) {
		return nil, false
	}
	return c.send(now, cs, ch), true
}

// isInTime reports whether the chosen server is expected to answer a call within its objective. For a call without an objective it depends on the reason of the choice alone: it is false for ChoiceSaturated. A last resort is never in time.
func (c *Core) isInTime(now time.Time, cs *callState, ch choice) bool {
	if ch.reason == ChoiceLastResort {
		return false
	}
	if cs.objective.IsZero() {
		return ch.reason != ChoiceSaturated
	}
	serviceTime := ch.server.serviceTime(now, cs.policy.Route)
	return !now.Add(c.transferTime(ch.server, cs) + c.expectedAnswerWait(now, ch.server, cs, serviceTime) + serviceTime).After(cs.objective)
}

// timerFired sends a hedged request, or cancels an attempt that has timed out and retries or refuses the call.
func (c *Core) timerFired(now time.Time, e TimerFired) []Action {
	cs := c.calls[e.Call]
	if cs == nil || cs.accepted {
		return nil
	}
	a := cs.activeAttempt(e.Attempt)
	if a == nil {
		return nil
	}
	if e.Timer == TimerHedge {
		return c.hedge(now, cs)
	}
	a.end()
	c.observeFailure(now, a.server, wire.ReasonTimeout, Load{})
	cs.mayHaveRun = true
	return append([]Action{CancelAttempt{Call: cs.id, Attempt: e.Attempt}}, c.retryOrRefuse(now, cs, wire.ReasonTimeout, 0)...)
}

// mayHedge reports whether a call may have a hedged request.
func (c *Core) mayHedge(cs *callState) bool {
	return cs.policy.HedgeAfter > 0 && cs.policy.Idempotent && !cs.hasBody && !cs.parentRetries && cs.attemptLimit() > 1
}

// hedge sends a second attempt of a late idempotent call without a body. The server must be expected to answer in time; as in retry, a call with an objective may be sent once to one that is not.
func (c *Core) hedge(now time.Time, cs *callState) []Action {
	if len(cs.attempts) > 1 || !c.mayHedge(cs) {
		return nil
	}
	out, _ := c.retry(now, cs, true)
	return out
}

// attemptEnded ends the call and its attempt after the accepted answer's body has ended.
func (c *Core) attemptEnded(now time.Time, e AttemptEnded) {
	cs := c.calls[e.Call]
	if cs == nil {
		return
	}
	a := cs.activeAttempt(e.Attempt)
	if a == nil {
		return
	}
	a.end()
	if e.Streamed {
		c.answerTimes.add(cs.routeKey(), now.Sub(cs.acceptedAt)) // also if it was cut, which it was no sooner
	}
	if e.Truncated {
		c.observeFailure(now, a.server, wire.ReasonCut, Load{})
	}
	c.endCall(cs)
}

// callerGone ends a call and cancels its attempts.
func (c *Core) callerGone(now time.Time, e CallerGone) []Action {
	cs := c.calls[e.Call]
	if cs == nil {
		return nil
	}
	c.endCall(cs)
	return c.cancelOthers(now, cs, 0)
}
