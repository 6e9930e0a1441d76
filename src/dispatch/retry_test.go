package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// TestRetryBudget checks that retries and hedges stay within the budget while all servers fail or are late.
func TestRetryBudget(t *testing.T) {
	const calls = 2000
	tests := map[string]struct {
		degrade func(s *fakeServer)
		hedge   time.Duration
	}{
		"all refuse":       {degrade: func(s *fakeServer) { s.refusesConnections = true }},
		"none answers":     {degrade: func(s *fakeServer) { s.neverAnswers = true }},
		"all late, hedged": {degrade: func(*fakeServer) {}, hedge: time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			for _, s := range servers {
				tc.degrade(s)
			}
			sim := newSimulation(Settings{}, servers...)
			sim.policy.Attempts, sim.policy.HedgeAfter, sim.policy.Timeout = 4, tc.hedge, 100*time.Millisecond
			sim.run(calls, 10*time.Millisecond)
			retries := sim.attempts - calls
			c.Assert(retries > 0, qt.IsTrue)
			c.Assert(retries <= calls/10+10, qt.IsTrue, qt.Commentf("%d retries", retries))
		})
	}
}

// chain is a chain of services that call each other, with one core for each.
type chain struct {
	cores            []*Core
	policy           *Policy
	now              time.Time
	failure          func(call uint64, attempt int) Event // result of an attempt at the last service
	lastServiceCalls int                                  // calls that reached the last service
	id               uint64
}

// call sends a call to a service of the chain, counted from 0; those before the last answer 503, since the last always fails.
func (c *chain) call(service int, parentRetries bool) {
	c.id++
	id := c.id
	actions := c.cores[service].Step(c.now, CallArrived{Call: id, Policy: c.policy, Remaining: 5 * time.Second, ParentRetries: parentRetries})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case SendAttempt:
			e := c.failure(id, a.Attempt)
			if service == len(c.cores)-1 {
				c.lastServiceCalls++
			} else {
				c.call(service+1, true)
				e = AttemptAnswered{Call: id, Attempt: a.Attempt, Status: 503}
			}
			actions = append(actions, c.cores[service].Step(c.now, e)...)
		case AcceptAnswer:
			c.cores[service].Step(c.now, AttemptEnded{Call: id, Attempt: a.Attempt})
		}
	}
}

// TestRetriesInCallChain checks that only the first service of a chain retries: if each did, retries would multiply with its depth.
func TestRetriesInCallChain(t *testing.T) {
	const depth, calls = 6, 1000
	tests := map[string]func(call uint64, attempt int) Event{
		"answers 503": func(call uint64, attempt int) Event {
			return AttemptAnswered{Call: call, Attempt: attempt, Status: 503}
		},
		"truncated": func(call uint64, attempt int) Event {
			return AttemptRefused{Call: call, Attempt: attempt, Reason: wire.ReasonCut, MayHaveRun: true}
		},
		"times out": func(call uint64, attempt int) Event {
			return TimerFired{Call: call, Attempt: attempt, Timer: TimerAttempt}
		},
	}
	for name, failure := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			services := &chain{now: time.Unix(0, 0), failure: failure}
			for range depth {
				sim := newSimulation(Settings{}, fakeServers(6, 0)...)
				sim.updateTable()
				services.cores, services.policy = append(services.cores, sim.core), sim.policy
			}
			for range calls {
				services.now = services.now.Add(10 * time.Millisecond)
				services.call(0, false)
			}
			c.Assert(services.lastServiceCalls > calls, qt.IsTrue)
			c.Assert(services.lastServiceCalls <= calls+calls/10+10, qt.IsTrue, qt.Commentf("%d calls reached the last service", services.lastServiceCalls))
		})
	}
}

// TestRetryInOtherDomain checks that a second attempt is sent to another failure domain than the first.
func TestRetryInOtherDomain(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(Settings{}, fakeServers(6, 0)...)
	sim.updateTable()
	now := time.Unix(0, 0)
	for id := range uint64(5) {
		first := sim.core.Step(now, CallArrived{Call: id, Policy: sim.policy, Remaining: time.Second})[1].(SendAttempt)
		second := sim.core.Step(now, AttemptRefused{Call: id, Attempt: 1, Reason: wire.ReasonLinkLost})[1].(SendAttempt)
		c.Assert(first.Reason, qt.Equals, ChoiceLocal)
		c.Assert(second.Reason, qt.Equals, ChoiceOtherDomain)
		c.Assert(sim.servers[second.Member].Domain, qt.Not(qt.Equals), "mid-a")
		now = now.Add(time.Second)
	}
}
