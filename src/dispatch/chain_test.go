package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

func TestRetriesStayWithinBudget(t *testing.T) {
	const calls = 2000
	tests := map[string]struct {
		spoil func(s *fakeServer)
		hedge time.Duration
	}{
		"all refuse":       {spoil: func(s *fakeServer) { s.dead = true }},
		"all silent":       {spoil: func(s *fakeServer) { s.silent = true }},
		"all late, hedged": {spoil: func(*fakeServer) {}, hedge: time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			for _, s := range servers {
				tc.spoil(s)
			}
			y := newYard(Settings{}, servers...)
			y.policy.Attempts, y.policy.HedgeAfter, y.policy.Timeout = 4, tc.hedge, 100*time.Millisecond
			y.run(calls, 10*time.Millisecond)
			retries := y.attempts - calls
			c.Assert(retries > 0, qt.IsTrue)
			c.Assert(retries <= calls/10+10, qt.IsTrue, qt.Commentf("%d retries", retries))
		})
	}
}

// chain is one core for each service of a chain of calls.
type chain struct {
	cores  []*Core
	policy *Policy
	now    time.Time
	fail   func(call uint64, attempt int) Event // the last service's answer
	leaf   int                                  // calls that reach the last service
	id     uint64
}

// call sends a call from a layer on; every layer above the last answers 503 to its failure.
func (c *chain) call(layer int, retries bool) {
	c.id++
	id := c.id
	actions := c.cores[layer].Step(c.now, CallArrived{Call: id, Policy: c.policy, Remaining: 5 * time.Second, RetryLayer: retries})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case SendAttempt:
			e := c.fail(id, a.Attempt)
			if layer == len(c.cores)-1 {
				c.leaf++
			} else {
				c.call(layer+1, true)
				e = AttemptAnswered{Call: id, Attempt: a.Attempt, Status: 503}
			}
			actions = append(actions, c.cores[layer].Step(c.now, e)...)
		case AcceptAnswer:
			c.cores[layer].Step(c.now, AttemptEnded{Call: id, Attempt: a.Attempt})
		}
	}
}

func TestChainSixDeepDoesNotMultiplyRetries(t *testing.T) {
	const depth, calls = 6, 1000
	tests := map[string]func(call uint64, attempt int) Event{
		"answers 503": func(call uint64, attempt int) Event {
			return AttemptAnswered{Call: call, Attempt: attempt, Status: 503}
		},
		"cut": func(call uint64, attempt int) Event {
			return AttemptRefused{Call: call, Attempt: attempt, Reason: wire.ReasonCut, MayHaveRun: true}
		},
		"times out": func(call uint64, attempt int) Event {
			return TimerFired{Call: call, Attempt: attempt, Timer: TimerAttempt}
		},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := &chain{now: time.Unix(0, 0), fail: fail}
			for range depth {
				y := newYard(Settings{}, fakeServers(6, 0)...)
				y.table()
				x.cores, x.policy = append(x.cores, y.core), y.policy
			}
			for range calls {
				x.now = x.now.Add(10 * time.Millisecond)
				x.call(0, false)
			}
			c.Assert(x.leaf > calls, qt.IsTrue)
			c.Assert(x.leaf <= calls+calls/10+10, qt.IsTrue, qt.Commentf("%d calls reached the last service", x.leaf))
		})
	}
}

func TestFurtherAttemptGoesToAnotherFailureDomain(t *testing.T) {
	c := qt.New(t)
	y := newYard(Settings{}, fakeServers(6, 0)...)
	y.table()
	now := time.Unix(0, 0)
	for id := range uint64(5) {
		first := y.core.Step(now, CallArrived{Call: id, Policy: y.policy, Remaining: time.Second})[1].(SendAttempt)
		second := y.core.Step(now, AttemptRefused{Call: id, Attempt: 1, Reason: wire.ReasonLinkLost})[1].(SendAttempt)
		c.Assert(first.Reason, qt.Equals, ChoiceLocal)
		c.Assert(second.Reason, qt.Equals, ChoiceOtherDomain)
		c.Assert(y.servers[second.Member].Domain, qt.Not(qt.Equals), "mid-a")
		now = now.Add(time.Second)
	}
}
