package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/wire"
)

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
			y.core.Step(now, CallArrived{Call: 1, Policy: y.policy, Remaining: time.Second})
			y.core.Step(now, AttemptRefused{Call: 1, Attempt: 1, Reason: reason})
			refused := y.core.Step(now, CallArrived{Call: 2, Policy: y.policy, Remaining: time.Second})
			c.Check(refused, qt.DeepEquals, []Action{RefuseCall{Call: 2, Reason: wire.ReasonNotReady, RetryAfter: time.Second}})
			y.servers[1].Ready = false
			y.table()
			sent := y.core.Step(now, CallArrived{Call: 3, Policy: y.policy, Remaining: time.Second})
			c.Check(sent, qt.HasLen, 2)
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
			y := newYard(Settings{SlowStart: 10 * time.Second}, servers...)
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
