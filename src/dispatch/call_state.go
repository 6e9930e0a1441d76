package dispatch

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	defaultAttempts = 2
	maxReplaced     = 3                     // sendings that were proven not run and do not count as attempts
	minLeft         = time.Millisecond      // a call with less time left is not sent
	timerSlack      = 20 * time.Millisecond // the daemon beside the backend server gives up first and says whether the call ran
	minRetryAfter   = 100 * time.Millisecond
)

// callState is what the core knows of one call in flight.
type callState struct {
	id         uint64
	policy     *Policy
	service    string // chosen target
	deadline   time.Time
	objective  time.Time // its answer is in time until then, zero for no objective
	final      bool      // the last attempt went where a late answer is expected
	reached    bool      // an attempt may have reached a backend server, so that a further one counts as repeated
	retryLayer bool
	hasBody    bool
	body       int64           // bytes of its body, below zero when unknown
	attempts   []*attemptState // by number, from 1
	mayHaveRun bool            // of any attempt that is over
	notRun     int             // attempts that are proven not to have run
	bodySpent  bool
	accepted   bool
}

// attemptState is one attempt of a call.
type attemptState struct {
	server *server
	sent   time.Time
	live   bool // no result yet, or its answer is still being passed on
}

func (s *callState) attempt(n int) *attemptState {
	if n < 1 || n > len(s.attempts) || !s.attempts[n-1].live {
		return nil
	}
	return s.attempts[n-1]
}

func (s *callState) live() int {
	n := 0
	for _, a := range s.attempts {
		if a.live {
			n++
		}
	}
	return n
}

// bulky tells whether the call's body is dear to carry to another failure domain.
func (s *callState) bulky() bool { return s.body < 0 || s.body > bulkySize }

// tried tells whether an attempt has gone to a server.
func (s *callState) tried(x *server) bool {
	return slices.ContainsFunc(s.attempts, func(a *attemptState) bool { return a.server.ID == x.ID })
}

// triedDomain tells whether an attempt has gone to a failure domain.
func (s *callState) triedDomain(domain string) bool {
	return slices.ContainsFunc(s.attempts, func(a *attemptState) bool { return a.server.Domain == domain })
}

// maxAttempts returns how many attempts may run.
func (s *callState) maxAttempts() int {
	if s.policy.Attempts == 0 {
		return defaultAttempts
	}
	return min(s.policy.Attempts, maxTotalAttempts-maxReplaced)
}

// mayRetry tells whether another attempt is allowed: the call has not run, or may run twice and no other layer retries it.
func (s *callState) mayRetry(now time.Time) bool {
	if s.bodySpent || s.deadline.Sub(now) < minLeft {
		return false
	}
	if len(s.attempts)-s.notRun >= s.maxAttempts() || s.notRun > maxReplaced {
		return false
	}
	return (!s.mayHaveRun && s.live() == 0) || (s.policy.Idempotent && !s.retryLayer)
}

func (c *Core) end(s *callState) {
	delete(c.calls, s.id)
	k := routeKey{s.policy.Service, s.policy.Route}
	if c.perRoute[k]--; c.perRoute[k] <= 0 {
		delete(c.perRoute, k)
	}
}

// drop ends an attempt.
func (a *attemptState) drop() {
	if a.live {
		a.live = false
		a.server.inFlight--
		a.server.settled(a)
	}
}

// cancelOthers gives up all live attempts but one.
func (c *Core) cancelOthers(now time.Time, s *callState, keep int) []Action {
	var out []Action
	for i, a := range s.attempts {
		if a.live && i+1 != keep {
			a.drop()
			c.observeLate(now, a.server, now.Sub(a.sent))
			out = append(out, CancelAttempt{Call: s.id, Attempt: i + 1})
		}
	}
	return out
}

// refuse ends a call without an answer.
func (c *Core) refuse(s *callState, reason wire.RefusalReason, after time.Duration) []Action {
	c.end(s)
	r := RefuseCall{Call: s.id, Reason: reason, MayHaveRun: s.mayHaveRun}
	if !r.MayHaveRun {
		r.RetryAfter = max(after, minRetryAfter)
	}
	return []Action{r}
}

// overloaded tells whether a refusal means that the backend server has no capacity left.
func overloaded(r wire.RefusalReason) bool {
	return slices.Contains([]wire.RefusalReason{wire.ReasonQueueFull, wire.ReasonLimit, wire.ReasonDeadline, wire.ReasonShed}, r)
}
