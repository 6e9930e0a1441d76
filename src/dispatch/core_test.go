package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestChoiceAgainstRoundRobin compares the tail with one bad server of six with that of round robin on the same calls.
func TestChoiceAgainstRoundRobin(t *testing.T) {
	tests := map[string]struct {
		spoil func(s []*fakeServer)
	}{
		"slow": {func(s []*fakeServer) { s[0].takes *= 20 }},
		"slow and claims free slots": {func(s []*fakeServer) {
			s[0].takes *= 20
			s[0].lies = true
		}},
		"few slots": {func(s []*fakeServer) {
			s[0].Slots = 2
			s[0].takes *= 10
		}},
		"never answers": {func(s []*fakeServer) { s[0].silent = true }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tail := map[Selection]time.Duration{}
			for _, sel := range []Selection{SelectTwoChoices, SelectRoundRobin} {
				servers := fakeServers(6, 10*time.Millisecond)
				tc.spoil(servers)
				y := newYard(Settings{Selection: sel}, servers...)
				y.policy.Timeout = time.Second
				y.run(4000, 2*time.Millisecond)
				tail[sel] = y.percentile(0.99)
			}
			t.Logf("p99 %v", tail)
			c.Assert(tail[SelectTwoChoices]*2 < tail[SelectRoundRobin], qt.IsTrue, qt.Commentf("%v", tail))
		})
	}
}

func TestChoiceByLocality(t *testing.T) {
	tests := map[string]struct {
		locality document.Locality
		interval time.Duration
		want     []ChoiceReason
	}{
		"stays in the failure domain":     {document.LocalityPrefer, 4 * time.Millisecond, []ChoiceReason{ChoiceLocal}},
		"spills when its slots are taken": {document.LocalityPrefer, 300 * time.Microsecond, []ChoiceReason{ChoiceLocal, ChoiceRegion}},
		"any":                             {document.LocalityAny, 4 * time.Millisecond, []ChoiceReason{ChoiceAny}},
		"strict":                          {document.LocalityStrict, 4 * time.Millisecond, []ChoiceReason{ChoiceLocal}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := newYard(Settings{}, fakeServers(6, 10*time.Millisecond)...)
			y.policy.Locality = tc.locality
			y.run(2000, tc.interval)
			c.Assert(y.refused, qt.HasLen, 0)
			for _, r := range tc.want {
				c.Check(y.reasons[r] > 0, qt.IsTrue, qt.Commentf("%v", y.reasons))
			}
			c.Check(y.reasons, qt.HasLen, len(tc.want), qt.Commentf("%v", y.reasons))
		})
	}
}

func TestRefusalIsFinalAtOnce(t *testing.T) {
	tests := map[string]struct {
		policy Policy
		left   time.Duration
		full   bool
		want   RefuseCall
	}{
		"no time left":  {left: 0, want: RefuseCall{Call: 1, Reason: wire.ReasonDeadline, RetryAfter: 100 * time.Millisecond}},
		"long backlog":  {left: time.Second, full: true, want: RefuseCall{Call: 1, Reason: wire.ReasonDeadline, RetryAfter: 3 * time.Second}},
		"no server":     {policy: Policy{Targets: []Target{{Service: "other", Weight: 1}}}, left: time.Second, want: RefuseCall{Call: 1, Reason: wire.ReasonNotReady, RetryAfter: time.Second}},
		"max in flight": {policy: Policy{MaxInFlight: 1}, left: time.Second, want: RefuseCall{Call: 2, Reason: wire.ReasonLimit, RetryAfter: 100 * time.Millisecond}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := newYard(Settings{}, fakeServers(2, time.Millisecond)...)
			y.table()
			now := time.Unix(0, 0)
			if tc.full {
				for _, s := range y.core.members {
					s.told(now, "", Load{Free: -40, Slots: 12, Backlog: 3 * time.Second})
				}
			}
			if tc.policy.Targets == nil {
				tc.policy.Targets = y.policy.Targets
			}
			var last []Action
			for id := uint64(1); id <= tc.want.Call; id++ {
				last = y.core.Step(now, CallArrived{Call: id, Policy: &tc.policy, Remaining: tc.left})
			}
			c.Assert(last, qt.DeepEquals, []Action{tc.want})
		})
	}
}

func TestFallbackServesWhenNoTargetIsUsable(t *testing.T) {
	c := qt.New(t)
	servers := fakeServers(2, time.Millisecond)
	servers[1].Service = "jobrecords"
	servers[0].Ready = false
	y := newYard(Settings{}, servers...)
	y.policy.Fallback = "jobrecords"
	y.run(10, time.Millisecond)
	c.Assert(y.sentTo, qt.DeepEquals, map[uint64]int{2: 10})
}

func TestWeightedTargets(t *testing.T) {
	c := qt.New(t)
	servers := fakeServers(2, time.Millisecond)
	servers[1].Service = "jobrecords"
	y := newYard(Settings{}, servers...)
	y.policy.Targets = []Target{{Service: "bookings", Weight: 90}, {Service: "jobrecords", Weight: 10}}
	y.run(2000, time.Millisecond)
	c.Assert(y.sentTo[2] > 140 && y.sentTo[2] < 260, qt.IsTrue, qt.Commentf("%v", y.sentTo))
}

// Shares of a split hold in every short series of calls, not only on average.
func TestWeightedTargetsInShortSeries(t *testing.T) {
	const series, off = 30, 2 // calls, and how many of them may go elsewhere than the weights say
	for name, weight := range map[string]int{"half": 50, "fifth": 20, "tenth": 10, "most": 95} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(2, time.Millisecond)
			servers[1].Service = "jobrecords"
			y := newYard(Settings{}, servers...)
			y.policy.Targets = []Target{{Service: "bookings", Weight: weight}, {Service: "jobrecords", Weight: 100 - weight}}
			want := float64(series*weight) / 100
			before := 0
			for i := range 100 {
				y.run(series, time.Millisecond)
				got := float64(y.sentTo[1] - before)
				before = y.sentTo[1]
				c.Assert(got >= want-off && got <= want+off, qt.IsTrue, qt.Commentf("series %d: %v of %v", i, got, want))
			}
		})
	}
}
