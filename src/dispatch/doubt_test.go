package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// TestDoubtedAttempt checks, for a call of at most two attempts that may run, what follows the doubt
// of its first attempt and the events after it.
func TestDoubtedAttempt(t *testing.T) {
	answered := func(n, status int) Event { return AttemptAnswered{Call: 1, Attempt: n, Status: status} }
	refused := func(n int, r wire.RefusalReason, mayHaveRun bool) Event {
		return AttemptRefused{Call: 1, Attempt: n, Reason: r, MayHaveRun: mayHaveRun}
	}
	timedOut := func(n int) Event { return TimerFired{Call: 1, Attempt: n, Timer: TimerAttempt} }
	doubted, silent := AttemptDoubted{Call: 1, Attempt: 1}, AttemptDoubted{Call: 1, Attempt: 1, Silent: true}
	tests := map[string]struct {
		change func(c *Core, p *Policy, e *CallArrived)
		events []Event // after the doubt, or from a doubt of another kind on
		want   []string
	}{
		"silent":                 {nil, []Event{silent, answered(2, 200)}, []string{"send 2", "cancel 1", "accept 2"}},
		"silent, one attempt":    {func(_ *Core, p *Policy, _ *CallArrived) { p.Attempts = 1 }, []Event{silent}, []string{"cancel 1", "refuse link_lost true"}},
		"silent, once only":      {func(_ *Core, p *Policy, _ *CallArrived) { p.Idempotent = false }, []Event{silent, answered(1, 200)}, []string{"accept 1"}},
		"silent, stop, one left": {func(_ *Core, p *Policy, e *CallArrived) { p.Attempts, e.EndWithin = 1, time.Minute }, []Event{silent, answered(1, 200)}, []string{"accept 1"}},
		"silent, just started":   {func(c *Core, p *Policy, _ *CallArrived) { p.Attempts, c.Settings.StopGrace = 1, time.Minute }, []Event{silent, answered(1, 200)}, []string{"accept 1"}},
		"both silent":            {nil, []Event{silent, AttemptDoubted{Call: 1, Attempt: 2, Silent: true}}, []string{"send 2", "cancel 1", "cancel 2", "refuse link_lost true"}},
		"silent, other one lost": {nil, []Event{silent, AttemptDoubted{Call: 1, Attempt: 2}, answered(1, 200)}, []string{"send 2", "cancel 2", "accept 1"}},
		"second answers":         {nil, []Event{answered(2, 200)}, []string{"send 2", "cancel 1", "accept 2"}},
		"first answers":          {nil, []Event{answered(1, 200)}, []string{"send 2", "cancel 2", "accept 1"}},
		"doubted again":          {nil, []Event{doubted, AttemptDoubted{Call: 1, Attempt: 2}}, []string{"send 2"}},
		"second fails":           {nil, []Event{refused(2, wire.ReasonCut, true), answered(1, 200)}, []string{"send 2", "accept 1"}},
		"second has not run":     {nil, []Event{refused(2, wire.ReasonConnect, false), answered(3, 200)}, []string{"send 2", "send 3", "cancel 1", "accept 3"}},
		"second answers 503":     {nil, []Event{answered(2, 503)}, []string{"send 2", "cancel 1", "accept 2"}},
		"first times out":        {nil, []Event{timedOut(1), answered(2, 200)}, []string{"send 2", "cancel 1", "accept 2"}},
		"both time out":          {nil, []Event{timedOut(1), timedOut(2)}, []string{"send 2", "cancel 1", "cancel 2", "refuse timeout true"}},
		"one attempt":            {func(_ *Core, p *Policy, _ *CallArrived) { p.Attempts = 1 }, []Event{answered(1, 200)}, []string{"accept 1"}},
		"once only":              {func(_ *Core, p *Policy, _ *CallArrived) { p.Idempotent = false }, []Event{answered(1, 200)}, []string{"accept 1"}},
		"parent retries":         {func(_ *Core, _ *Policy, e *CallArrived) { e.ParentRetries = true }, []Event{answered(1, 200)}, []string{"accept 1"}},
		"too late in a stop": {func(c *Core, p *Policy, e *CallArrived) {
			c.answerSizes.add((&callState{policy: p}).routeKey(), 1)
			e.EndWithin = time.Millisecond
		}, []Event{answered(1, 200)}, []string{"accept 1"}},
		"no retry budget": {func(c *Core, _ *Policy, _ *CallArrived) { c.services["bookings"].budget.capacity = 0 }, []Event{answered(1, 200)}, []string{"accept 1"}},
		"no retry budget, objective": {func(c *Core, _ *Policy, e *CallArrived) {
			c.services["bookings"].budget.capacity, e.Objective = 0, time.Second
		}, []Event{timedOut(1)}, []string{"cancel 1", "refuse timeout true"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(Settings{}, fakeServers(6, 0)...)
			sim.updateTable()
			arrived := CallArrived{Call: 1, Policy: sim.policy, Remaining: time.Second}
			if tc.change != nil {
				tc.change(sim.core, sim.policy, &arrived)
			}
			now := time.Unix(0, 0)
			sim.core.Step(now, arrived)
			var got []string
			if len(tc.events) == 0 || tc.events[0] != Event(silent) {
				tc.events = append([]Event{doubted}, tc.events...)
			}
			for _, e := range tc.events {
				now = now.Add(time.Millisecond)
				for _, a := range sim.core.Step(now, e) {
					switch a := a.(type) {
					case SendAttempt:
						got = append(got, fmt.Sprint("send ", a.Attempt))
					case CancelAttempt:
						got = append(got, fmt.Sprint("cancel ", a.Attempt))
					case AcceptAnswer:
						got = append(got, fmt.Sprint("accept ", a.Attempt))
					case RefuseCall:
						got = append(got, fmt.Sprint("refuse ", a.Reason, " ", a.MayHaveRun))
					}
				}
			}
			qt.Check(t, got, qt.DeepEquals, tc.want)
		})
	}
}
