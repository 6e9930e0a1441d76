package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// callArrived sends a call's first attempt or refuses the call.
func (c *Core) callArrived(now time.Time, e CallArrived) []Action {
	cs := &callState{id: e.Call, policy: e.Policy, deadline: now.Add(e.Remaining), parentRetries: e.ParentRetries, hasBody: e.HasBody, bodyLength: e.BodyLength}
	if e.EndWithin != 0 {
		c.endBy = now.Add(e.EndWithin)
	}
	cs.answerSize = c.answerSizes.mean(cs.routeKey())
	k := cs.routeKey()
	if e.Objective != 0 {
		cs.objective = now.Add(e.Objective - c.patience.elapsed(k, e.Remaining))
	}
	full := e.Policy.MaxInFlight > 0 && c.inFlightByRoute[k] >= e.Policy.MaxInFlight
	c.calls[cs.id] = cs
	c.inFlightByRoute[k]++
	if full {
		return c.refuseCall(cs, wire.ReasonLimit, minRetryAfter)
	}
	if e.Remaining < minRemaining {
		return c.refuseCall(cs, wire.ReasonDeadline, 0)
	}
	serviceName, ok := c.chooseTarget(k, e.Policy)
	if !ok {
		return c.refuseCall(cs, wire.ReasonNotReady, c.Settings.NotReadyRetryAfter)
	}
	cs.service = serviceName
	c.selectVersion(now, cs, serviceName)
	ch, ok := c.chooseServer(now, cs.policy, serviceName, cs)
	if !ok {
		return c.refuseCall(cs, wire.ReasonNotReady, c.Settings.NotReadyRetryAfter)
	}
	if wait := ch.server.backlog(now, cs.policy.Route); wait > e.Remaining && cs.objective.IsZero() { // with an objective, the server judges by urgency and by what can be in time
		return c.refuseCall(cs, wire.ReasonDeadline, wait)
	}
	if e.EndWithin != 0 && e.Longest > e.EndWithin || !c.endsInTime(now, cs, ch) {
		return c.refuseCall(cs, wire.ReasonLeaving, minRetryAfter)
	}
	c.services[serviceName].budget.refill()
	out := c.send(now, cs, ch)
	if c.mayHedge(cs) {
		out = append(out, SetTimer{Call: cs.id, Attempt: 1, Timer: TimerHedge, After: cs.policy.HedgeAfter})
	}
	return out
}

// send starts an attempt at the chosen server.
func (c *Core) send(now time.Time, cs *callState, ch choice) []Action {
	timeout := cs.policy.Timeout
	if timeout <= 0 {
		timeout = c.Settings.Timeout
	}
	timeout = min(timeout, cs.deadline.Sub(now))
	maxQueueWait := c.maxQueueWait(now, cs, ch)
	a := &attemptState{server: ch.server, backendStart: ch.server.StartedAt, sentAt: now, active: true, trial: ch.server.departure.trial}
	cs.attempts = append(cs.attempts, a)
	ch.server.addAttempt(a)
	n := len(cs.attempts)
	loadAge := time.Duration(0)
	if ch.server.load.Slots > 0 {
		loadAge = now.Sub(ch.server.loadAt)
	}
	cs.final = cs.final || cs.isLastChance() || !c.hasCandidate(cs.policy, c.services[ch.server.Service], cs)
	return []Action{
		SetTimer{Call: cs.id, Attempt: n, Timer: TimerAttempt, After: timeout + timerSlack},
		SendAttempt{Call: cs.id, Attempt: n, Member: ch.server.ID, Service: ch.server.Service, Rollout: cs.rollout, New: ch.server.isNew, Timeout: timeout, Reason: ch.reason, Backlog: ch.server.backlog(now, cs.policy.Route), LoadAge: loadAge, SpeedPercent: int(ch.server.speed.Percent(now, ch.server.speedMemory)), Final: cs.final, MaxQueueWait: maxQueueWait, Objective: cs.timeToObjective(now)},
	}
}
