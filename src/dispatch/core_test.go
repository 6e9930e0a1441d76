package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestChoiceTailLatency checks that with one bad server of six the 99th percentile of the latency is less than half that of round robin for the same calls.
func TestChoiceTailLatency(t *testing.T) {
	tests := map[string]struct {
		degrade func(s []*fakeServer)
	}{
		"slow": {func(s []*fakeServer) { s[0].serviceTime *= 20 }},
		"slow, reports free slots": {func(s []*fakeServer) {
			s[0].serviceTime *= 20
			s[0].reportsAllFree = true
		}},
		"few slots, slow": {func(s []*fakeServer) {
			s[0].Slots = 2
			s[0].serviceTime *= 10
		}},
		"never answers": {func(s []*fakeServer) { s[0].neverAnswers = true }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p99 := map[Selection]time.Duration{}
			for _, sel := range []Selection{SelectTwoChoices, SelectRoundRobin} {
				servers := fakeServers(6, 10*time.Millisecond)
				tc.degrade(servers)
				sim := newSimulation(Settings{Selection: sel}, servers...)
				sim.policy.Timeout = time.Second
				sim.run(4000, 2*time.Millisecond)
				p99[sel] = sim.percentile(0.99)
			}
			t.Logf("p99 %v", p99)
			c.Assert(p99[SelectTwoChoices]*2 < p99[SelectRoundRobin], qt.IsTrue, qt.Commentf("%v", p99))
		})
	}
}

// TestChoiceLocality checks in which failure domains calls are sent, by locality and load.
func TestChoiceLocality(t *testing.T) {
	tests := map[string]struct {
		locality document.Locality
		interval time.Duration
		want     []ChoiceReason
	}{
		"stays in the failure domain":         {document.LocalityPrefer, 4 * time.Millisecond, []ChoiceReason{ChoiceLocal}},
		"leaves it when its slots are in use": {document.LocalityPrefer, 300 * time.Microsecond, []ChoiceReason{ChoiceLocal, ChoiceRegion}},
		"any":                                 {document.LocalityAny, 4 * time.Millisecond, []ChoiceReason{ChoiceAny}},
		"strict":                              {document.LocalityStrict, 4 * time.Millisecond, []ChoiceReason{ChoiceLocal}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(Settings{}, fakeServers(6, 10*time.Millisecond)...)
			sim.policy.Locality = tc.locality
			sim.run(2000, tc.interval)
			c.Assert(sim.refused, qt.HasLen, 0)
			for _, r := range tc.want {
				c.Check(sim.reasons[r] > 0, qt.IsTrue, qt.Commentf("%v", sim.reasons))
			}
			c.Check(sim.reasons, qt.HasLen, len(tc.want), qt.Commentf("%v", sim.reasons))
		})
	}
}

// TestCallRefusedOnArrival checks that a call that cannot be sent, or not in time, is refused at once.
func TestCallRefusedOnArrival(t *testing.T) {
	tests := map[string]struct {
		policy      Policy
		remaining   time.Duration
		longBacklog bool
		want        RefuseCall
	}{
		"no time left":  {remaining: 0, want: RefuseCall{Call: 1, Reason: wire.ReasonDeadline, RetryAfter: 100 * time.Millisecond}},
		"long backlog":  {remaining: time.Second, longBacklog: true, want: RefuseCall{Call: 1, Reason: wire.ReasonDeadline, RetryAfter: 3 * time.Second}},
		"no server":     {policy: Policy{Targets: []Target{{Service: "other", Weight: 1}}}, remaining: time.Second, want: RefuseCall{Call: 1, Reason: wire.ReasonNotReady, RetryAfter: time.Second}},
		"max in flight": {policy: Policy{MaxInFlight: 1}, remaining: time.Second, want: RefuseCall{Call: 2, Reason: wire.ReasonLimit, RetryAfter: 100 * time.Millisecond}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(Settings{}, fakeServers(2, time.Millisecond)...)
			sim.updateTable()
			now := time.Unix(0, 0)
			if tc.longBacklog {
				for _, s := range sim.core.members {
					s.recordLoad(now, "", Load{Free: -40, Slots: 12, Backlog: 3 * time.Second})
				}
			}
			if tc.policy.Targets == nil {
				tc.policy.Targets = sim.policy.Targets
			}
			var last []Action
			for id := uint64(1); id <= tc.want.Call; id++ {
				last = sim.core.Step(now, CallArrived{Call: id, Policy: &tc.policy, Remaining: tc.remaining})
			}
			c.Assert(last, qt.DeepEquals, []Action{tc.want})
		})
	}
}

// TestTargetFallback checks that the fallback receives all calls while no target has a usable server.
func TestTargetFallback(t *testing.T) {
	c := qt.New(t)
	servers := fakeServers(2, time.Millisecond)
	servers[1].Service = "jobrecords"
	servers[0].Ready = false
	sim := newSimulation(Settings{}, servers...)
	sim.policy.Fallback = "jobrecords"
	sim.run(10, time.Millisecond)
	c.Assert(sim.sentTo, qt.DeepEquals, map[uint64]int{2: 10})
}

// TestTargetWeights checks that calls are split by weight on average.
func TestTargetWeights(t *testing.T) {
	c := qt.New(t)
	servers := fakeServers(2, time.Millisecond)
	servers[1].Service = "jobrecords"
	sim := newSimulation(Settings{}, servers...)
	sim.policy.Targets = []Target{{Service: "bookings", Weight: 90}, {Service: "jobrecords", Weight: 10}}
	sim.run(2000, time.Millisecond)
	c.Assert(sim.sentTo[2] > 140 && sim.sentTo[2] < 260, qt.IsTrue, qt.Commentf("%v", sim.sentTo))
}

// TestTargetWeightsShortSeries checks that every short series of calls is split by weight, not only the average.
func TestTargetWeightsShortSeries(t *testing.T) {
	const series, tolerance = 30, 2 // calls in a series, and by how many the split may differ from the weights
	for name, weight := range map[string]int{"half": 50, "fifth": 20, "tenth": 10, "most": 95} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(2, time.Millisecond)
			servers[1].Service = "jobrecords"
			sim := newSimulation(Settings{}, servers...)
			sim.policy.Targets = []Target{{Service: "bookings", Weight: weight}, {Service: "jobrecords", Weight: 100 - weight}}
			want := float64(series*weight) / 100
			before := 0
			for i := range 100 {
				sim.run(series, time.Millisecond)
				got := float64(sim.sentTo[1] - before)
				before = sim.sentTo[1]
				c.Assert(got >= want-tolerance && got <= want+tolerance, qt.IsTrue, qt.Commentf("series %d: %v of %v", i, got, want))
			}
		})
	}
}
