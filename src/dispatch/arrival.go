package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// arrive sends a call's first attempt or refuses the call.
func (c *Core) arrive(now time.Time, e CallArrived) []Action {
	s := &callState{id: e.Call, policy: e.Policy, deadline: now.Add(e.Remaining), retryLayer: e.RetryLayer, hasBody: e.HasBody, body: e.BodyLength}
	if e.Objective != 0 {
		s.objective = now.Add(e.Objective)
	}
	k := routeKey{e.Policy.Service, e.Policy.Route}
	full := e.Policy.MaxInFlight > 0 && c.perRoute[k] >= e.Policy.MaxInFlight
	c.calls[s.id] = s
	c.perRoute[k]++
	if full {
		return c.refuse(s, wire.ReasonLimit, minRetryAfter)
	}
	if e.Remaining < minLeft {
		return c.refuse(s, wire.ReasonDeadline, 0)
	}
	name, ok := c.target(k, e.Policy)
	if !ok {
		return c.refuse(s, wire.ReasonNotReady, c.Settings.NotReadyRetry)
	}
	s.service = name
	ch, ok := c.choose(now, s.policy, name, s)
	if !ok {
		return c.refuse(s, wire.ReasonNotReady, c.Settings.NotReadyRetry)
	}
	if wait := ch.server.backlog(now); wait > e.Remaining {
		return c.refuse(s, wire.ReasonDeadline, wait)
	}
	c.services[name].budget.earn()
	out := c.send(now, s, ch)
	if c.mayHedge(s) {
		out = append(out, SetTimer{Call: s.id, Attempt: 1, Timer: TimerHedge, After: s.policy.HedgeAfter})
	}
	return out
}

// send begins an attempt.
func (c *Core) send(now time.Time, s *callState, ch choice) []Action {
	timeout := s.policy.Timeout
	if timeout <= 0 {
		timeout = c.Settings.Timeout
	}
	timeout = min(timeout, s.deadline.Sub(now))
	patience := c.patience(now, s, ch)
	a := &attemptState{server: ch.server, sent: now, live: true}
	s.attempts = append(s.attempts, a)
	ch.server.began(a)
	n := len(s.attempts)
	age := time.Duration(0)
	if ch.server.load.Slots > 0 {
		age = now.Sub(ch.server.loadAt)
	}
	s.final = s.final || !c.hasCandidate(s.policy, c.services[ch.server.Service], s)
	return []Action{
		SetTimer{Call: s.id, Attempt: n, Timer: TimerAttempt, After: timeout + timerSlack},
		SendAttempt{Call: s.id, Attempt: n, Member: ch.server.ID, Service: ch.server.Service, Timeout: timeout, Reason: ch.reason, ExpectedWait: ch.server.backlog(now), LoadAge: age, Final: s.final, Patience: patience},
	}
}
