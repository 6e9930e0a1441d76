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
	actions := c.cores[layer].Step(c.now, CallArrived{Call: id, Policy: c.policy, Left: 5 * time.Second, RetryLayer: retries})
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

func TestOutliersAreSetAsideAndReturn(t *testing.T) {
	tests := map[string]struct {
		spoil func(s *fakeServer)
		why   string
	}{
		"slow":             {func(s *fakeServer) { s.takes *= 20 }, ""}, // its cost keeps calls away before it counts as an outlier
		"never answers":    {func(s *fakeServer) { s.silent = true }, "set_aside: failures"},
		"sheds and claims": {func(s *fakeServer) { s.shed = true }, "set_aside: failures"},
		"faults":           {func(s *fakeServer) { s.status = 500 }, ""}, // likewise
		"dead":             {func(s *fakeServer) { s.dead = true }, "unreachable"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			tc.spoil(servers[0])
			y := newYard(Settings{}, servers...)
			y.policy.Timeout, y.policy.Locality = 200*time.Millisecond, document.LocalityAny
			seen, early, late := map[string]bool{}, 0, 0
			for i := range 400 {
				y.after(time.Duration(i)*10*time.Millisecond, func() {
					seen[y.core.obstacle(y.time(), y.policy, y.core.members[1])] = true
				})
			}
			y.after(4*time.Second, func() {
				early = y.sentTo[1]
				servers[0].takes, servers[0].silent, servers[0].shed, servers[0].dead, servers[0].status = 10*time.Millisecond, false, false, false, 0
			})
			y.after(40*time.Second, func() { late = y.sentTo[1] })
			y.run(15000, 4*time.Millisecond)
			c.Check(tc.why == "" || seen[tc.why], qt.IsTrue, qt.Commentf("%v", seen))
			late = y.sentTo[1] - late
			c.Check(early < 1000/6/4, qt.IsTrue, qt.Commentf("%d of the first 1000 calls", early))
			c.Check(late > 5000/6/2, qt.IsTrue, qt.Commentf("%d calls after its return", late))
		})
	}
}

// TestOutliersByObservedAnswers gives a server answers that its cost would keep away.
func TestOutliersByObservedAnswers(t *testing.T) {
	tests := map[string]struct {
		status int
		took   time.Duration
		others int // status of the other servers' answers
		want   string
	}{
		"latency":           {200, 50 * time.Millisecond, 200, "set_aside: latency"},
		"latency, by a bit": {200, 14 * time.Millisecond, 200, ""},
		"errors":            {500, 10 * time.Millisecond, 200, "set_aside: errors"},
		"errors of all":     {500, 10 * time.Millisecond, 500, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := newYard(Settings{}, fakeServers(6, 0)...)
			y.table()
			for range minSamples + 1 {
				y.now += medianAge
				y.core.observeAnswer(y.time(), y.core.members[1], tc.status, tc.took)
				for id := uint64(2); id <= 6; id++ {
					y.core.observeAnswer(y.time(), y.core.members[id], tc.others, 10*time.Millisecond)
				}
			}
			c.Check(y.core.obstacle(y.time(), y.policy, y.core.members[1]), qt.Equals, tc.want)
		})
	}
}

func TestServerThatRefusesAsLeavingIsNotChosenUntilATableShowsIt(t *testing.T) {
	tests := map[string]wire.RefusalReason{"leaving": wire.ReasonLeaving, "replaced": wire.ReasonWrongMember}
	for name, reason := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := newYard(Settings{}, fakeServers(1, 0)...)
			y.table()
			now := time.Unix(0, 0)
			y.core.Step(now, CallArrived{Call: 1, Policy: y.policy, Left: time.Second})
			y.core.Step(now, AttemptRefused{Call: 1, Attempt: 1, Reason: reason})
			refused := y.core.Step(now, CallArrived{Call: 2, Policy: y.policy, Left: time.Second})
			c.Check(refused, qt.DeepEquals, []Action{RefuseCall{Call: 2, Reason: wire.ReasonNotReady, RetryAfter: time.Second}})
			y.servers[1].Ready = false
			y.table()
			sent := y.core.Step(now, CallArrived{Call: 3, Policy: y.policy, Left: time.Second})
			c.Check(sent, qt.HasLen, 2)
		})
	}
}

func TestFurtherAttemptGoesToAnotherFailureDomain(t *testing.T) {
	c := qt.New(t)
	y := newYard(Settings{}, fakeServers(6, 0)...)
	y.table()
	now := time.Unix(0, 0)
	for id := range uint64(5) {
		first := y.core.Step(now, CallArrived{Call: id, Policy: y.policy, Left: time.Second})[1].(SendAttempt)
		second := y.core.Step(now, AttemptRefused{Call: id, Attempt: 1, Reason: wire.ReasonLinkLost})[1].(SendAttempt)
		c.Assert(first.Reason, qt.Equals, ChoiceLocal)
		c.Assert(second.Reason, qt.Equals, ChoiceOtherDomain)
		c.Assert(y.servers[second.Member].Domain, qt.Not(qt.Equals), "mid-a")
		now = now.Add(time.Second)
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

// TestColdServerTakesItsShareGradually counts the calls of a server that has just started among six.
func TestColdServerTakesItsShareGradually(t *testing.T) {
	tests := map[string]struct {
		locality document.Locality
		domain   string // of the cold server
		share    float64
	}{
		"among all":                     {document.LocalityAny, "mid-a", 1.0 / 6},
		"alone in its failure domain":   {document.LocalityPrefer, "mid-a", 1},
		"beside another in its domain":  {document.LocalityPrefer, "mid-a", 0.5},
		"in a failure domain not asked": {document.LocalityPrefer, "mid-b", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			servers[0].Age, servers[0].Domain = 0, tc.domain
			if tc.share == 1 {
				servers[1].Domain = "mid-b"
			}
			y := newYard(Settings{ColdStart: 10 * time.Second}, servers...)
			y.policy.Locality = tc.locality
			early := 0
			y.after(2*time.Second, func() { early = y.sentTo[1] })
			y.run(6000, 4*time.Millisecond)
			late := y.sentTo[1] - early
			c.Logf("first 2 s %d of 500, then %d of 5500", early, late)
			c.Check(float64(early) <= 500*tc.share/2, qt.IsTrue, qt.Commentf("%d of its first calls", early))
			c.Check(float64(late) >= 5500*tc.share/2, qt.IsTrue, qt.Commentf("%d of the later calls", late))
			c.Check((early > 0) == (tc.share > 0), qt.IsTrue)
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

func TestDoubtfulServersAreAvoidedUnlessThereIsNoOther(t *testing.T) {
	tests := map[string]struct {
		spoil func(s *fakeServer)
		alone int // calls of 100 when all servers are like this
	}{
		"suspect":   {func(s *fakeServer) { s.State = wire.StateSuspect }, 100},
		"not ready": {func(s *fakeServer) { s.Ready = false }, 100},
		"leaving":   {func(s *fakeServer) { s.State = wire.StateLeaving }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(2, time.Millisecond)
			tc.spoil(servers[0])
			y := newYard(Settings{}, servers...)
			y.run(100, 4*time.Millisecond)
			c.Check(y.sentTo, qt.DeepEquals, map[uint64]int{2: 100})
			tc.spoil(servers[1])
			y = newYard(Settings{}, servers...)
			y.run(100, 4*time.Millisecond)
			c.Check(y.attempts, qt.Equals, tc.alone)
		})
	}
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
