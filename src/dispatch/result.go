package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// answered passes an answer on, or tries again when it is a failure that another server may not have.
func (c *Core) answered(now time.Time, e AttemptAnswered) []Action {
	s := c.calls[e.Call]
	if s == nil || s.accepted {
		return nil
	}
	a := s.attempt(e.Attempt)
	if a == nil {
		return nil
	}
	a.server.settled(a)
	a.server.told(now, s.policy.Route, e.Load)
	c.observeAnswer(now, a.server, e.Status, now.Sub(a.sent))
	if unavailable(e.Status) && s.policy.Idempotent {
		if out, ok := c.replace(now, s, e.Attempt); ok {
			return out
		}
	}
	s.accepted = true
	return append(c.cancelOthers(now, s, e.Attempt), AcceptAnswer{Call: s.id, Attempt: e.Attempt})
}

// replace gives up an answered attempt for one that is live or another one, if there can be one.
func (c *Core) replace(now time.Time, s *callState, n int) ([]Action, bool) {
	drop := CancelAttempt{Call: s.id, Attempt: n}
	if s.live() > 1 {
		s.attempts[n-1].drop()
		s.mayHaveRun = true
		return []Action{drop}, true
	}
	out, ok := c.retry(now, s, true)
	if !ok {
		return nil, false
	}
	s.attempts[n-1].drop()
	s.mayHaveRun = true
	return append([]Action{drop}, out...), true
}

// unavailable tells whether an answer's status says that the server could not serve the call now.
func unavailable(status int) bool { return status >= 502 && status <= 504 }

// refused tries again where that is allowed, or ends the call.
func (c *Core) refused(now time.Time, e AttemptRefused) []Action {
	s := c.calls[e.Call]
	if s == nil || s.accepted {
		return nil
	}
	a := s.attempt(e.Attempt)
	if a == nil {
		return nil
	}
	a.drop()
	a.server.told(now, s.policy.Route, e.Load)
	c.observeFailure(now, a.server, e.Reason, e.Load)
	s.reached = s.reached || e.MayHaveRun || e.Reason == wire.ReasonShed
	if e.MayHaveRun {
		s.mayHaveRun = true
	} else {
		s.notRun++
	}
	s.bodySpent = s.bodySpent || e.BodyConsumed
	return c.next(now, s, e.Reason, e.RetryAfter)
}

// next goes on after an attempt that brought no answer.
func (c *Core) next(now time.Time, s *callState, reason wire.RefusalReason, after time.Duration) []Action {
	if s.live() > 0 {
		return nil
	}
	if out, ok := c.retry(now, s, overloaded(reason)); ok {
		return out
	}
	return c.refuse(s, reason, after)
}

// retry sends another attempt to a server not yet tried; needFree asks for one that is expected to have a free slot.
func (c *Core) retry(now time.Time, s *callState, needFree bool) ([]Action, bool) {
	if !s.mayRetry(now) {
		return nil, false
	}
	ch, ok := c.choose(now, s.policy, s.service, s)
	if !ok && s.policy.Fallback != "" {
		ch, ok = c.choose(now, s.policy, s.policy.Fallback, s)
	}
	if !ok {
		return nil, false
	}
	if needFree && !c.inTime(now, s, ch) {
		if s.objective.IsZero() || s.final {
			return nil, false
		}
		s.final = true
	}
	if (s.reached || s.objective.IsZero()) && !c.services[ch.server.Service].budget.take(!s.policy.Idempotent) {
		return nil, false
	}
	return c.send(now, s, ch), true
}

// inTime tells whether a server is expected to answer a call within its objective, or to have a free slot when it has none.
func (c *Core) inTime(now time.Time, s *callState, ch choice) bool {
	if ch.reason == ChoiceLastResort {
		return false
	}
	if s.objective.IsZero() {
		return ch.reason != ChoiceSaturated
	}
	return !now.Add(c.carry(ch.server, s) + ch.server.wait(now, s.policy.Route) + ch.server.services[s.policy.Route]).After(s.objective)
}

// timer acts on an attempt that takes too long.
func (c *Core) timer(now time.Time, e TimerFired) []Action {
	s := c.calls[e.Call]
	if s == nil || s.accepted {
		return nil
	}
	a := s.attempt(e.Attempt)
	if a == nil {
		return nil
	}
	if e.Timer == TimerHedge {
		return c.hedge(now, s)
	}
	a.drop()
	c.observeFailure(now, a.server, wire.ReasonTimeout, Load{})
	s.mayHaveRun = true
	return append([]Action{CancelAttempt{Call: s.id, Attempt: e.Attempt}}, c.next(now, s, wire.ReasonTimeout, 0)...)
}

func (c *Core) mayHedge(s *callState) bool {
	return s.policy.HedgeAfter > 0 && s.policy.Idempotent && !s.hasBody && !s.retryLayer && s.maxAttempts() > 1
}

// hedge sends a second attempt of a late read to a server that is expected to have a free slot.
func (c *Core) hedge(now time.Time, s *callState) []Action {
	if len(s.attempts) > 1 || !c.mayHedge(s) {
		return nil
	}
	out, _ := c.retry(now, s, true)
	return out
}

// ended frees the server after an accepted answer.
func (c *Core) ended(now time.Time, e AttemptEnded) {
	s := c.calls[e.Call]
	if s == nil {
		return
	}
	a := s.attempt(e.Attempt)
	if a == nil {
		return
	}
	a.drop()
	if e.Cut {
		c.observeFailure(now, a.server, wire.ReasonCut, Load{})
	}
	c.end(s)
}

// callerGone gives up every attempt of a call.
func (c *Core) callerGone(now time.Time, e CallerGone) []Action {
	s := c.calls[e.Call]
	if s == nil {
		return nil
	}
	c.end(s)
	return c.cancelOthers(now, s, 0)
}
