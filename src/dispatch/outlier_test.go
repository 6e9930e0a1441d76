package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestCallsWithFailingServers checks that every call is answered while some servers fail, and that only a limited number is refused while five of six fail.
func TestCallsWithFailingServers(t *testing.T) {
	tests := map[string]struct {
		degrade func(s []*fakeServer)
		refused int // at most
	}{
		"half refuse connections": {func(s []*fakeServer) {
			s[0].refusesConnections, s[2].refusesConnections, s[4].refusesConnections = true, true, true
		}, 0},
		"domain refuses connections": {func(s []*fakeServer) { s[0].refusesConnections, s[1].refusesConnections = true, true }, 0},
		"one sheds all":              {func(s []*fakeServer) { s[0].shedsAll = true }, 0},
		"five of six refuse connections": {func(s []*fakeServer) {
			s[0].refusesConnections, s[1].refusesConnections, s[2].refusesConnections, s[3].refusesConnections, s[4].refusesConnections = true, true, true, true, true
		}, 400},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			tc.degrade(servers)
			sim := newSimulation(Settings{}, servers...)
			sim.run(2000, 4*time.Millisecond)
			t.Logf("refused %v attempts %d", sim.refused, sim.attempts)
			n := 0
			for _, r := range sim.refused {
				n += r
			}
			c.Assert(n <= tc.refused, qt.IsTrue, qt.Commentf("%v", sim.refused))
			c.Assert(len(sim.latencies)+n, qt.Equals, 2000)
		})
	}
}

// TestOutlierEjectionAndReturn checks that a failing server receives few calls, that its obstacle is named, and that it receives more than half of its share of calls after its recovery.
func TestOutlierEjectionAndReturn(t *testing.T) {
	tests := map[string]struct {
		degrade  func(s *fakeServer)
		obstacle string
	}{
		"slow":                      {func(s *fakeServer) { s.serviceTime *= 20 }, ""}, // its cost keeps calls away before it is detected as an outlier
		"never answers":             {func(s *fakeServer) { s.neverAnswers = true }, "set_aside: failures"},
		"sheds, reports free slots": {func(s *fakeServer) { s.shedsAll = true }, "set_aside: failures"},
		"answers 500":               {func(s *fakeServer) { s.status = 500 }, ""}, // as for slow
		"refuses connections":       {func(s *fakeServer) { s.refusesConnections = true }, "unreachable"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			tc.degrade(servers[0])
			sim := newSimulation(Settings{}, servers...)
			sim.policy.Timeout, sim.policy.Locality = 200*time.Millisecond, document.LocalityAny
			seen, sentWhileFailing, sentAfter40s := map[string]bool{}, 0, 0
			for i := range 400 {
				sim.schedule(time.Duration(i)*10*time.Millisecond, func() {
					seen[sim.core.obstacle(sim.currentTime(), sim.policy, sim.core.members[1])] = true
				})
			}
			sim.schedule(4*time.Second, func() {
				sentWhileFailing = sim.sentTo[1]
				servers[0].serviceTime, servers[0].neverAnswers, servers[0].shedsAll, servers[0].refusesConnections, servers[0].status = 10*time.Millisecond, false, false, false, 0
			})
			sim.schedule(40*time.Second, func() { sentAfter40s = sim.sentTo[1] }) // until then; subtracted below
			sim.run(15000, 4*time.Millisecond)
			c.Check(tc.obstacle == "" || seen[tc.obstacle], qt.IsTrue, qt.Commentf("%v", seen))
			sentAfter40s = sim.sentTo[1] - sentAfter40s
			c.Check(sentWhileFailing < 1000/6/4, qt.IsTrue, qt.Commentf("%d of the first 1000 calls", sentWhileFailing))
			c.Check(sentAfter40s > 5000/6/2, qt.IsTrue, qt.Commentf("%d calls after its return", sentAfter40s))
		})
	}
}

// TestOutlierDetection checks which latencies and errors make a server an outlier. It passes answers to the core directly, because the cost of such a server would keep calls away before it is ejected.
func TestOutlierDetection(t *testing.T) {
	tests := map[string]struct {
		status  int
		latency time.Duration
		others  int // status of the other servers' answers
		want    string
	}{
		"latency":               {200, 50 * time.Millisecond, 200, "set_aside: latency"},
		"latency, small excess": {200, 14 * time.Millisecond, 200, ""},
		"errors":                {500, 10 * time.Millisecond, 200, "set_aside: errors"},
		"errors of all":         {500, 10 * time.Millisecond, 500, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(Settings{}, fakeServers(6, 0)...)
			sim.updateTable()
			for range minOutlierSamples + 1 {
				sim.now += medianMaxAge
				sim.core.observeAnswer(sim.currentTime(), sim.core.members[1], tc.status, tc.latency)
				for id := uint64(2); id <= 6; id++ {
					sim.core.observeAnswer(sim.currentTime(), sim.core.members[id], tc.others, 10*time.Millisecond)
				}
			}
			c.Check(sim.core.obstacle(sim.currentTime(), sim.policy, sim.core.members[1]), qt.Equals, tc.want)
		})
	}
}

// TestSlowStart checks how many calls a server receives in the first 2 s after its start and later, among six servers.
func TestSlowStart(t *testing.T) {
	tests := map[string]struct {
		locality document.Locality
		domain   string // of the new server
		share    float64
	}{
		"among all":                          {document.LocalityAny, "mid-a", 1.0 / 6},
		"alone in its failure domain":        {document.LocalityPrefer, "mid-a", 1},
		"with another in its failure domain": {document.LocalityPrefer, "mid-a", 0.5},
		"in a failure domain without calls":  {document.LocalityPrefer, "mid-b", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(6, 10*time.Millisecond)
			servers[0].Age, servers[0].Domain = 0, tc.domain
			if tc.share == 1 {
				servers[1].Domain = "mid-b"
			}
			sim := newSimulation(Settings{SlowStart: 10 * time.Second}, servers...)
			sim.policy.Locality = tc.locality
			early := 0
			sim.schedule(2*time.Second, func() { early = sim.sentTo[1] })
			sim.run(6000, 4*time.Millisecond)
			late := sim.sentTo[1] - early
			c.Logf("first 2 s %d of 500, then %d of 5500", early, late)
			c.Check(float64(early) <= 500*tc.share/2, qt.IsTrue, qt.Commentf("%d of its first calls", early))
			c.Check(float64(late) >= 5500*tc.share/2, qt.IsTrue, qt.Commentf("%d of the later calls", late))
			c.Check((early > 0) == (tc.share > 0), qt.IsTrue)
		})
	}
}

// TestUnhealthyServersAsLastResort checks that suspect and not-ready servers are chosen only if there is no other, and leaving ones never.
func TestUnhealthyServersAsLastResort(t *testing.T) {
	tests := map[string]struct {
		degrade   func(s *fakeServer)
		wantIfAll int // attempts for 100 calls if all servers are in this state
	}{
		"suspect":   {func(s *fakeServer) { s.State = wire.StateSuspect }, 100},
		"not ready": {func(s *fakeServer) { s.Ready = false }, 100},
		"leaving":   {func(s *fakeServer) { s.State = wire.StateLeaving }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			servers := fakeServers(2, time.Millisecond)
			tc.degrade(servers[0])
			sim := newSimulation(Settings{}, servers...)
			sim.run(100, 4*time.Millisecond)
			c.Check(sim.sentTo, qt.DeepEquals, map[uint64]int{2: 100})
			tc.degrade(servers[1])
			sim = newSimulation(Settings{}, servers...)
			sim.run(100, 4*time.Millisecond)
			c.Check(sim.attempts, qt.Equals, tc.wantIfAll)
		})
	}
}
