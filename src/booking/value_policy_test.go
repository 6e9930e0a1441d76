package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// valueCore returns a core with PolicyValue, one slot, which call 1000 holds, and known service times.
func valueCore(serviceTimes map[string]time.Duration) *Core {
	c := fixedLimitCore(1, serviceTimes)
	c.Policy = PolicyValue
	c.Step(epoch, Arrive{Call: 1000, Route: "short", Objective: time.Second})
	return c
}

func refused(actions []Action) []Refuse {
	var out []Refuse
	for _, a := range actions {
		if a, ok := a.(Refuse); ok {
			out = append(out, a)
		}
	}
	return out
}

// A burst that is longer than can be in time: a queued long call is refused for the sake of two
// short ones, instead of all calls that arrive after it.
func TestValuePolicyBurst(t *testing.T) {
	const ms = time.Millisecond
	c := valueCore(map[string]time.Duration{"short": 50 * ms, "long": 150 * ms})
	c.Step(epoch, Arrive{Call: 1, Route: "long", Timeout: 400 * ms, Objective: 300 * ms, Priority: 1})
	var out []uint64
	for i := range 4 {
		for _, r := range refused(c.Step(epoch, Arrive{Call: uint64(2 + i), Route: "short", Timeout: 400 * ms, Objective: 300 * ms, Priority: 1})) {
			out = append(out, r.Call)
		}
	}
	qt.Assert(t, out, qt.DeepEquals, []uint64{1})
	qt.Assert(t, c.queue.size, qt.Equals, 4)
}

// Returning callers: a refused call that comes back at its Retry-After, with the rest of its
// objective, is queued, and a newcomer of its kind is refused for it. It is not refused twice while
// newcomers are served.
func TestValuePolicyReturningCaller(t *testing.T) {
	const ms = time.Millisecond
	c := valueCore(map[string]time.Duration{"short": 50 * ms})
	newcomer := Arrive{Route: "short", Timeout: 600 * ms, Objective: 300 * ms, Priority: 1}
	arrive := func(at time.Duration, call uint64, e Arrive) []Refuse {
		e.Call = call
		return refused(c.Step(epoch.Add(at), e))
	}
	var first Refuse
	for call := uint64(1); first.Call == 0; call++ {
		if out := arrive(0, call, newcomer); len(out) > 0 {
			first = out[0]
		}
	}
	back := newcomer
	back.Timeout, back.Objective = back.Timeout-first.RetryAfter, back.Objective-first.RetryAfter
	for i := range 8 { // newcomers fill the queue again
		now := first.RetryAfter * time.Duration(i+1) / 9
		c.Step(epoch.Add(now), Release{Call: c.anyRunning(), Result: ResultFailed})
		arrive(now, uint64(100+2*i), newcomer)
		arrive(now, uint64(101+2*i), newcomer)
	}
	for _, r := range arrive(first.RetryAfter, 500, back) {
		qt.Check(t, r.Call, qt.Not(qt.Equals), uint64(500))
	}
}

func (c *Core) anyRunning() uint64 {
	for call := range c.running {
		return call
	}
	return 0
}

// Wrong estimates under overload: the learned time of a kind is 20 times too long. Its calls are
// still served a quarter as often as all, so that the estimate is corrected.
func TestValuePolicyWrongEstimate(t *testing.T) {
	const ms, work, n = time.Millisecond, 50 * time.Millisecond, 400
	c := valueCore(map[string]time.Duration{"short": work, "wrong": 20 * work})
	now, running, served := epoch, uint64(1000), map[string]int{}
	routes := map[uint64]string{1000: "short"}
	for i := range uint64(2 * n) { // twice the capacity
		now = now.Add(work / 2)
		route := []string{"short", "wrong"}[i/2%2]
		routes[i] = route
		c.Step(now, Arrive{Call: i, Route: route, Timeout: 3 * time.Second, Objective: 1500 * ms, Priority: 1, Final: true})
		if i%2 == 0 {
			continue
		}
		for _, call := range admitted(c.Step(now, Release{Call: running, Result: ResultAnswered, Took: work})) {
			running = call
			served[routes[call]]++
		}
	}
	qt.Assert(t, served["wrong"] >= n/8, qt.IsTrue, qt.Commentf("%v", served))
	qt.Assert(t, c.serviceTimes.routeMean("wrong") < 2*work, qt.IsTrue, qt.Commentf("%v", c.serviceTimes.routeMean("wrong")))
}
