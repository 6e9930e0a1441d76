package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Late in a stop, the first calls of a route must not be taken as if their answers were short; such
// downloads were reset at its end.
func TestStopUnknownAnswers(t *testing.T) {
	const endWithin = 3 * time.Second
	tests := map[string]struct {
		answer   Event // to an earlier call, nil for none
		deadline time.Duration
		taken    bool
	}{
		"first answer":             {deadline: 2 * endWithin},
		"first answer, ends":       {deadline: endWithin - time.Second, taken: true},
		"length unknown":           {answer: AttemptAnswered{Call: 1, Attempt: 1, Status: 200, Size: -1}, deadline: 2 * endWithin},
		"length known":             {answer: AttemptAnswered{Call: 1, Attempt: 1, Status: 200, Size: 10}, deadline: 2 * endWithin, taken: true},
		"answers without any body": {answer: AttemptAnswered{Call: 1, Attempt: 1, Status: 204}, deadline: 2 * endWithin, taken: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(Settings{}, fakeServers(6, 0)...)
			sim.updateTable()
			now := time.Unix(0, 0)
			if tc.answer != nil {
				sim.core.Step(now, CallArrived{Call: 1, Policy: sim.policy, Remaining: time.Second})
				sim.core.Step(now, tc.answer)
			}
			actions := sim.core.Step(now, CallArrived{Call: 2, Policy: sim.policy, Remaining: tc.deadline, EndWithin: endWithin})
			_, refused := actions[0].(RefuseCall)
			qt.Check(t, refused, qt.Equals, !tc.taken)
		})
	}
}
