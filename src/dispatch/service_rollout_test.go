package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/wire"
)

// rolloutCore returns a core with four servers of version v1, with even IDs, and four of v2.
func rolloutCore(now time.Time, r rollout.Routing) *Core {
	core := &Core{Settings: Settings{ExposureShare: 0.1}.WithDefaults(), Rand: NewRand(1)}
	e := TableChanged{Self: 99, Domain: "a"}
	for id := range uint64(8) {
		e.Members = append(e.Members, Member{ID: id + 2, Service: "s", Domain: "a", Slots: 4, Ready: true, Age: time.Hour, Version: []string{"v1", "v2"}[id%2]})
	}
	core.Step(now, e)
	core.Step(now, RoutingChanged{Service: "s", Routing: r})
	return core
}

// toNew counts the first attempts of calls that go to the new version; each call is answered with
// the given status.
func toNew(core *Core, now time.Time, calls, newStatus int) (n int, sends []SendAttempt) {
	policy := &Policy{Service: "s", Route: "r", Idempotent: true, Attempts: 2, Targets: []Target{{Service: "s", Weight: 1}}}
	for i := range calls {
		now = now.Add(time.Millisecond)
		for _, a := range core.Step(now, CallArrived{Call: uint64(i + 1), Policy: policy, Remaining: time.Second}) {
			send, ok := a.(SendAttempt)
			if !ok {
				continue
			}
			sends = append(sends, send)
			status := 200
			if send.Member%2 == 1 {
				n++
				status = newStatus
			}
			core.Step(now, AttemptAnswered{Call: send.Call, Attempt: send.Attempt, Status: status})
			core.Step(now, AttemptEnded{Call: send.Call, Attempt: send.Attempt})
		}
	}
	return n, sends
}

// Each stage must send exactly to the versions that it allows, and name the order in the head.
// Guards against calls to a version that nothing allows, and against a canary beyond its share.
func TestRolloutStages(t *testing.T) {
	tests := map[string]struct {
		routing  rollout.Routing
		min, max int // of 1000 calls
	}{
		"no order":           {rollout.Routing{}, 1, 999},
		"no record":          {rollout.Routing{Stage: rollout.StageNone}, 0, 0},
		"canary":             {rollout.Routing{Stage: rollout.StageCanary}, 60, 80},
		"canary, stopped":    {rollout.Routing{Stage: rollout.StageCanary, Stopped: true}, 0, 0},
		"drain old":          {rollout.Routing{Stage: rollout.StageDrainOld}, 1000, 1000},
		"drain old, stopped": {rollout.Routing{Stage: rollout.StageDrainOld, Stopped: true}, 0, 0},
		"completed":          {rollout.Routing{Stage: rollout.StageCompleted}, 1000, 1000},
		"rolled back":        {rollout.Routing{Stage: rollout.StageRolledBack}, 0, 0},
		"shift of all":       {rollout.Routing{Stage: rollout.StageShift, Share: 1}, 990, 1000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			if r := &tc.routing; name != "no order" {
				r.Order, r.TargetVersion, r.Started, r.Duration = 7, "v2", now, 10*time.Second
			}
			core := rolloutCore(now, tc.routing)
			n, sends := toNew(core, now, 1000, 200)
			qt.Check(t, n >= tc.min && n <= tc.max, qt.IsTrue, qt.Commentf("%d of 1000 calls to the new version", n))
			qt.Check(t, sends, qt.HasLen, 1000)
			qt.Check(t, sends[0].Rollout, qt.Equals, tc.routing.Order)
		})
	}
}

// A call that a gate has refused as not run goes to the other version, and one that a new server has
// failed to an old one. Guards against retries that expose more calls to a bad version, and against
// refused calls while records spread.
func TestRolloutRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := &Policy{Service: "s", Route: "r", Idempotent: true, Attempts: 3, Targets: []Target{{Service: "s", Weight: 1}}}
	tests := map[string]struct {
		fromNew bool
		event   func(s SendAttempt) Event
		wantNew bool
	}{
		"new server's gate": {true, func(s SendAttempt) Event {
			return AttemptRefused{Call: s.Call, Attempt: s.Attempt, Reason: wire.ReasonVersion}
		}, false},
		"old server's gate": {false, func(s SendAttempt) Event {
			return AttemptRefused{Call: s.Call, Attempt: s.Attempt, Reason: wire.ReasonVersion}
		}, true},
		"new server fails": {true, func(s SendAttempt) Event { return AttemptAnswered{Call: s.Call, Attempt: s.Attempt, Status: 503} }, false},
		"old server fails": {false, func(s SendAttempt) Event { return AttemptAnswered{Call: s.Call, Attempt: s.Attempt, Status: 503} }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			core := rolloutCore(now, rollout.Routing{Order: 7, TargetVersion: "v2", Stage: rollout.StageCanary, Started: now, Duration: 10 * time.Second})
			toNew(core, now, 100, 200)
			for call := uint64(1000); ; call++ {
				send := sendOf(core.Step(now, CallArrived{Call: call, Policy: policy, Remaining: time.Second}))
				if send.New != tc.fromNew {
					core.Step(now, AttemptAnswered{Call: call, Attempt: 1, Status: 200})
					core.Step(now, AttemptEnded{Call: call, Attempt: 1})
					continue
				}
				retry := sendOf(core.Step(now, tc.event(send)))
				qt.Assert(t, retry.Attempt, qt.Equals, 2)
				qt.Check(t, retry.New, qt.Equals, tc.wantNew)
				return
			}
		})
	}
}

// While the gates of the new servers refuse calls, as without a permit, only few calls must be tried
// there: each refusal gives the exposure back, so that otherwise every call would be.
func TestRolloutRefusingGates(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := &Policy{Service: "s", Route: "r", Attempts: 2, Targets: []Target{{Service: "s", Weight: 1}}}
	core := rolloutCore(now, rollout.Routing{Order: 7, TargetVersion: "v2", Stage: rollout.StageCanary, Started: now, Duration: 10 * time.Second})
	refused := 0
	for call := range uint64(1000) {
		now = now.Add(time.Millisecond)
		send := sendOf(core.Step(now, CallArrived{Call: call + 1, Policy: policy, Remaining: time.Second}))
		if send.New {
			refused++
			send = sendOf(core.Step(now, AttemptRefused{Call: send.Call, Attempt: send.Attempt, Reason: wire.ReasonVersion}))
			qt.Assert(t, send.New, qt.IsFalse)
		}
		core.Step(now, AttemptAnswered{Call: send.Call, Attempt: send.Attempt, Status: 200})
		core.Step(now, AttemptEnded{Call: send.Call, Attempt: send.Attempt})
	}
	qt.Check(t, refused > 0 && refused <= 50, qt.IsTrue, qt.Commentf("%d of 1000 calls refused by a gate", refused))
}

// Calls that no server runs must not allow further calls to the new version: the bound is a share of
// the requests that reach the service. Guards against a larger canary under overload.
func TestRolloutRefusedCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	core := rolloutCore(now, rollout.Routing{Order: 7, TargetVersion: "v2", Stage: rollout.StageCanary, Started: now, Duration: 10 * time.Second})
	policy := &Policy{Service: "s", Route: "r", Attempts: 1, Targets: []Target{{Service: "s", Weight: 1}}}
	for call := range uint64(1000) {
		now = now.Add(time.Millisecond)
		for send := sendOf(core.Step(now, CallArrived{Call: call + 5000, Policy: policy, Remaining: time.Second})); send.Call != 0; {
			send = sendOf(core.Step(now, AttemptRefused{Call: send.Call, Attempt: send.Attempt, Reason: wire.ReasonQueueFull}))
		}
	}
	all, news := core.rollouts["s"].limiter.Counts()
	qt.Check(t, all, qt.Equals, uint64(0))
	qt.Check(t, news, qt.Equals, uint64(0))
}

func sendOf(actions []Action) SendAttempt {
	for _, a := range actions {
		if s, ok := a.(SendAttempt); ok {
			return s
		}
	}
	return SendAttempt{}
}
