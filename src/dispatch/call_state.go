package dispatch

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	defaultAttempts  = 2
	maxNotRunRetries = 3                      // retries after attempts proven not to have run, which do not count towards the attempt limit
	maxCrashesOfCall = 2                      // backend servers that may crash under a call before it is not sent again
	minRemaining     = time.Millisecond       // until the deadline; a call with less time is not sent
	timerSlack       = 20 * time.Millisecond  // added to an attempt's timeout so that the backend server's daemon times out first and reports whether the call ran
	minRetryAfter    = 100 * time.Millisecond // shortest retry-after of a refused call that has not run
)

// callState is the core's state of one call in flight.
type callState struct {
	id             uint64
	policy         *Policy
	service        string // chosen target
	deadline       time.Time
	objective      time.Time // time by which the answer is wanted, zero for no objective
	final          bool      // an attempt was sent when its service had no other server left to try, or a retry to a server that is not expected to answer within the objective; stays set for later attempts
	retriesCharged bool      // an attempt was refused as possibly run or as shed: it may have reached a backend server, so that later ones take from the retry budget; without an objective they always do
	parentRetries  bool      // CallArrived.ParentRetries
	hasBody        bool
	bodyLength     int64           // in bytes, negative if unknown
	answerSize     int64           // expected size of the answer in bytes, 0 if unknown
	attempts       []*attemptState // by number, from 1
	mayHaveRun     bool            // an attempt that has ended may have run
	notRunCount    int             // number of attempts proven not to have run
	bodyConsumed   bool            // it cannot be sent again
	crashes        int             // backend servers that have crashed while they ran it
	isSuspect      bool            // backend servers crash under the request, so that it is not sent to another one
	version        versionClass    // of the servers that the next attempt may go to
	rollout        uint64          // order that the service of the next attempt is under, 0 for none
	exposes        *serviceRollout // whose limiter has counted the last attempt for the new version, nil for none
	counted        *serviceRollout // whose limiter has counted the call, nil for none
	countedOrder   uint64          // under which it was counted
	accepted       bool            // an answer is being passed on to the caller
	acceptedAt     time.Time
}

// attemptState is one attempt of a call.
type attemptState struct {
	server       *server
	backendStart time.Time // Member.StartedAt of the server when the attempt was sent
	sentAt       time.Time
	active       bool // it has no result yet, or its answer is still being passed on
	doubted      bool // its answer may not come
	silent       bool // and its member has sent nothing for some time
	trial        bool // of a server that has refused calls as leaving or replaced
	wrongVersion bool // it was refused by the server's gate
	full         bool // it was refused as not run, since the wait for a slot was too long for a first choice
}

// activeAttempt returns attempt n, nil if it does not exist or is not active.
func (cs *callState) activeAttempt(n int) *attemptState {
	if n < 1 || n > len(cs.attempts) || !cs.attempts[n-1].active {
		return nil
	}
	return cs.attempts[n-1]
}

// activeAttempts returns the number of active attempts.
func (cs *callState) activeAttempts() int {
	n := 0
	for _, a := range cs.attempts {
		if a.active {
			n++
		}
	}
	return n
}

// awaitsOther reports whether an active attempt other than n is not doubted.
func (cs *callState) awaitsOther(n int) bool {
	for i, a := range cs.attempts {
		if a.active && !a.doubted && i+1 != n {
			return true
		}
	}
	return false
}

// isSilent reports whether all active attempts are silent.
func (cs *callState) isSilent() bool {
	return !slices.ContainsFunc(cs.attempts, func(a *attemptState) bool { return a.active && !a.silent })
}

// routeKey returns the key of the call's route.
func (cs *callState) routeKey() routeKey { return routeKey{cs.policy.Service, cs.policy.Route} }

// timeToObjective returns the time until the objective, negative after it, 0 for no objective.
func (cs *callState) timeToObjective(now time.Time) time.Duration {
	if cs.objective.IsZero() {
		return 0
	}
	if d := cs.objective.Sub(now); d != 0 {
		return d
	}
	return -1
}

// hasLargeBody reports whether the request's body is costly to transfer to another VM; a body of unknown size counts as large.
func (cs *callState) hasLargeBody() bool { return cs.bodyLength < 0 || cs.bodyLength > largeBody }

// hasLargeTransfer reports whether the request's body or the expected answer is costly to transfer between failure domains.
func (cs *callState) hasLargeTransfer() bool { return cs.hasLargeBody() || cs.answerSize > largeBody }

// transferSize returns the bytes of the request's body and of the expected answer.
func (cs *callState) transferSize() int64 {
	if cs.bodyLength < 0 {
		return largeBody + cs.answerSize
	}
	return cs.bodyLength + cs.answerSize
}

// hasTried reports whether the given server is no longer a candidate because an attempt has been sent to it.
//
// Once boundedWaitAttempts have been sent, a server that has refused one of them only because of its queue is a candidate again:
// its load is then known better than that of servers that the call has not tried.
func (cs *callState) hasTried(srv *server) bool {
	n, wasFull := 0, false
	for _, a := range cs.attempts {
		if a.server.ID == srv.ID {
			n++
			wasFull = a.full
		}
	}
	maySendAgain := n == 1 && wasFull && len(cs.attempts) >= boundedWaitAttempts
	return n > 0 && !maySendAgain
}

// isLastChance reports whether a refusal of the next attempt as not run would end the call.
func (cs *callState) isLastChance() bool { return cs.notRunCount >= maxNotRunRetries }

// hasTriedDomain reports whether an attempt has been sent to the given failure domain.
func (cs *callState) hasTriedDomain(domain string) bool {
	return slices.ContainsFunc(cs.attempts, func(a *attemptState) bool { return a.server.Domain == domain })
}

// attemptLimit returns the maximum number of attempts that may run.
func (cs *callState) attemptLimit() int {
	if cs.policy.Attempts == 0 {
		return defaultAttempts
	}
	return min(cs.policy.Attempts, maxTotalAttempts-maxNotRunRetries)
}

// mayRetry reports whether another attempt is allowed: the request is not suspected of crashing
// backend servers, its body can be sent again, time and attempts are left, and the call has not
// run, or is idempotent and no earlier call in the chain may be sent again after it may have run.
func (cs *callState) mayRetry(now time.Time) bool {
	if cs.bodyConsumed || cs.isSuspect || cs.deadline.Sub(now) < minRemaining {
		return false
	}
	if len(cs.attempts)-cs.notRunCount >= cs.attemptLimit() || cs.notRunCount > maxNotRunRetries {
		return false
	}
	return (!cs.mayHaveRun && cs.activeAttempts() == 0) || (cs.policy.Idempotent && !cs.parentRetries)
}

// endCall removes a call from the core's state.
func (c *Core) endCall(cs *callState) {
	delete(c.calls, cs.id)
	k := cs.routeKey()
	if c.inFlightByRoute[k]--; c.inFlightByRoute[k] <= 0 {
		delete(c.inFlightByRoute, k)
	}
}

// end marks an attempt as ended and updates its server.
func (a *attemptState) end() {
	if a.active {
		a.active = false
		a.server.inFlight--
		a.server.removeUnanswered(a)
	}
}

// cancelOthers cancels all active attempts but one; except is 0 to cancel all.
func (c *Core) cancelOthers(now time.Time, cs *callState, except int) []Action {
	var out []Action
	for i, a := range cs.attempts {
		if a.active && i+1 != except {
			a.end()
			c.observeUnanswered(now, a.server, now.Sub(a.sentAt))
			out = append(out, CancelAttempt{Call: cs.id, Attempt: i + 1})
		}
	}
	return out
}

// refuseCall ends a call without an answer. The refusal of a call that has not run states at least minRetryAfter; the refusal of a call that may have run states no retry-after.
func (c *Core) refuseCall(cs *callState, reason wire.RefusalReason, retryAfter time.Duration) []Action {
	c.endCall(cs)
	r := RefuseCall{Call: cs.id, Reason: reason, MayHaveRun: cs.mayHaveRun}
	if !r.MayHaveRun {
		c.dropRequest(cs)
		r.RetryAfter = max(retryAfter, minRetryAfter)
	}
	return []Action{r}
}

// isOverload reports whether a refusal means that the backend server has no free capacity.
func isOverload(r wire.RefusalReason) bool {
	return slices.Contains([]wire.RefusalReason{wire.ReasonQueueFull, wire.ReasonLimit, wire.ReasonDeadline, wire.ReasonShed}, r)
}
