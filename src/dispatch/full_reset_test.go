package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// A server that resets connections because it is full is no gray server: however many calls end so,
// it must stay in use. The calls may have run, so that one which may run only once is not sent again.
func TestFullResetsAreNoFailures(t *testing.T) {
	c := qt.New(t)
	core := newObjectiveCore()
	once := *readPolicy
	once.Idempotent = false
	for call := range uint64(40) {
		p := readPolicy
		if call%2 == 1 {
			p = &once
		}
		actions := core.Step(epoch, CallArrived{Call: call, Policy: p, Remaining: 1000 * ms, Objective: 300 * ms})
		sent := 0
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if s, ok := a.(SendAttempt); ok {
				sent++
				actions = append(actions, core.Step(epoch, AttemptRefused{Call: call, Attempt: s.Attempt, Reason: wire.ReasonLimit, MayHaveRun: true})...)
			}
			if r, ok := a.(RefuseCall); ok {
				c.Check(r.MayHaveRun, qt.IsTrue)
			}
		}
		c.Check(sent == 1 || p.Idempotent, qt.IsTrue)
	}
	for _, srv := range core.members {
		c.Check(srv.isEjected(epoch), qt.IsFalse)
		c.Check(srv.errorRate, qt.Equals, 0.0)
	}
}
