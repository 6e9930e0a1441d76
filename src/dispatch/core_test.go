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

func TestCallsSurviveBadServers(t *testing.T) {
	tests := map[string]struct {
		spoil   func(s []*fakeServer)
		refused int // at most
	}{
		"half dead":     {func(s []*fakeServer) { s[0].dead, s[2].dead, s[4].dead = true, true, true }, 0},
		"domain dead":   {func(s []*fakeServer) { s[0].dead, s[1].dead = true, true }, 0},
		"one sheds all": {func(s []*fakeServer) { s[0].shed = true }, 0},
		"five of six dead": {func(s []*fakeServer) {
			s[0].dead, s[1].dead, s[2].dead, s[3].dead, s[4].dead = true, true, true, true, true
		}, 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			tc.spoil(servers)
			y := newYard(Settings{}, servers...)
			y.run(2000, 4*time.Millisecond)
			t.Logf("refused %v attempts %d", y.refused, y.attempts)
			n := 0
			for _, r := range y.refused {
				n += r
			}
			c.Assert(n <= tc.refused, qt.IsTrue, qt.Commentf("%v", y.refused))
			c.Assert(len(y.took)+n, qt.Equals, 2000)
		})
	}
}

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

// TestChainSixDeepDoesNotMultiplyRetries lets the last service of a chain answer 503 and counts its calls.
func TestChainSixDeepDoesNotMultiplyRetries(t *testing.T) {
	const depth, calls = 6, 1000
	c := qt.New(t)
	cores := []*Core{}
	for range depth {
		y := newYard(Settings{}, fakeServers(6, 0)...)
		y.table()
		cores = append(cores, y.core)
	}
	policy := &Policy{Service: "bookings", Route: "diary", Targets: []Target{{Service: "bookings", Weight: 1}}, Idempotent: true, Attempts: 4}
	leaf, id := 0, uint64(0)
	now := time.Unix(0, 0)
	var call func(layer int, retries bool)
	call = func(layer int, retries bool) {
		if layer == depth {
			leaf++
			return
		}
		id++
		this := id
		actions := cores[layer].Step(now, CallArrived{Call: this, Policy: policy, Left: 5 * time.Second, RetryLayer: retries})
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			if s, ok := a.(SendAttempt); ok {
				call(layer+1, true)
				actions = append(actions, cores[layer].Step(now, AttemptAnswered{Call: this, Attempt: s.Attempt, Status: 503})...)
			}
			if x, ok := a.(AcceptAnswer); ok {
				cores[layer].Step(now, AttemptEnded{Call: this, Attempt: x.Attempt})
			}
		}
	}
	for range calls {
		now = now.Add(10 * time.Millisecond)
		call(0, false)
	}
	c.Assert(leaf > calls, qt.IsTrue)
	c.Assert(leaf <= calls+calls/10+10, qt.IsTrue, qt.Commentf("%d calls reached the last service", leaf))
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

// TestColdServerTakesItsShareGradually counts the calls of a server that has just started among six.
func TestColdServerTakesItsShareGradually(t *testing.T) {
	c := qt.New(t)
	servers := fakeServers(6, 10*time.Millisecond)
	servers[0].Age = 0
	y := newYard(Settings{ColdStart: 10 * time.Second}, servers...)
	y.policy.Locality = document.LocalityAny
	early := 0
	y.after(2*time.Second, func() { early = y.sentTo[1] })
	y.run(6000, 4*time.Millisecond)
	late := y.sentTo[1] - early
	c.Logf("first 2 s %d of 500, then %d of 5500", early, late)
	c.Check(early > 0 && early < 500/6/2, qt.IsTrue, qt.Commentf("%d of its first calls", early))
	c.Check(late > 5500/6/2, qt.IsTrue, qt.Commentf("%d of the later calls", late))
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
					s.told(now, Load{Free: -40, Slots: 12, Backlog: 3 * time.Second})
				}
			}
			if tc.policy.Targets == nil {
				tc.policy.Targets = y.policy.Targets
			}
			var last []Action
			for id := uint64(1); id <= tc.want.Call; id++ {
				last = y.core.Step(now, CallArrived{Call: id, Policy: &tc.policy, Left: tc.left})
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
