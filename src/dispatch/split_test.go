package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	splitAgents    = 80
	splitTolerance = 0.1 // of a part's share of the weight, over all agents together
)

// splitFleet is many agents that split one route by weight between services part-0, part-1 and so on.
type splitFleet struct {
	cores   []*Core
	policy  *Policy
	shares  []float64
	version uint64
	calls   uint64
}

func newSplitFleet(seed uint64, weights ...int) *splitFleet {
	f := &splitFleet{policy: &Policy{Service: "bookings", Route: "read", Idempotent: true, Attempts: 2, Timeout: time.Second}}
	sum := 0
	for i, w := range weights {
		f.policy.Targets = append(f.policy.Targets, Target{Service: fmt.Sprint("part-", i), Weight: w})
		sum += w
	}
	for _, w := range weights {
		f.shares = append(f.shares, float64(w)/float64(sum))
	}
	for i := range splitAgents {
		f.cores = append(f.cores, &Core{Settings: Settings{}.WithDefaults(), Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
	}
	f.newVersion()
	return f
}

// newVersion passes a new version of the table to all agents.
func (f *splitFleet) newVersion() {
	f.version++
	for i, c := range f.cores {
		e := TableChanged{Version: f.version, Self: uint64(1 + i), Domain: "a", Region: "r"}
		for m := range f.cores {
			e.Members = append(e.Members, Member{ID: uint64(1 + m), Service: fmt.Sprint("part-", m%len(f.shares)), Domain: "a", Region: "r", Slots: 9, Ready: true, Age: time.Hour})
		}
		c.Step(epoch, e)
	}
}

// send sends a call by an agent and returns its first attempt.
func (f *splitFleet) send(agent int) SendAttempt {
	f.calls++
	for _, a := range f.cores[agent].Step(epoch, CallArrived{Call: f.calls, Policy: f.policy, Remaining: time.Second, Objective: 300 * ms}) {
		if s, ok := a.(SendAttempt); ok {
			return s
		}
	}
	return SendAttempt{}
}

// deviation sends a window of calls from random agents and returns by how much the share of a part
// deviates most.
func (f *splitFleet) deviation(r *rand.Rand) float64 {
	n := 200 + r.IntN(101)
	counts := map[string]int{}
	for range n {
		s := f.send(r.IntN(len(f.cores)))
		counts[s.Service]++
	}
	worst := 0.0
	for i, share := range f.shares {
		worst = max(worst, math.Abs(float64(counts[f.policy.Targets[i].Service])/float64(n)-share))
	}
	return worst
}

// A release under load: each of 80 agents sees two to four requests of a window. All windows
// together, and those right after a new version, must be split by weight.
func TestSplitOverManyAgents(t *testing.T) {
	tests := map[string][]int{"halves": {50, 50}, "one in ten": {90, 10}, "one in three": {67, 33}, "four parts": {40, 30, 20, 10}}
	for name, weights := range tests {
		t.Run(name, func(t *testing.T) {
			worst, sum, windows := 0.0, 0.0, 0
			for seed := range uint64(3) {
				f := newSplitFleet(seed, weights...)
				r := rand.New(rand.NewPCG(seed, 7))
				for window := range 24 {
					if window%2 == 0 {
						f.newVersion()
					}
					d := f.deviation(r)
					worst, sum, windows = max(worst, d), sum+d, windows+1
				}
			}
			t.Logf("worst deviation %.3f, mean %.3f in %d windows", worst, sum/float64(windows), windows)
			qt.Assert(t, worst <= splitTolerance, qt.IsTrue)
		})
	}
}

// One part of a split is full: what does not fit there is refused and not moved to the other part,
// whose load must stay that of its weight.
func TestSplitWithFullPart(t *testing.T) {
	c := qt.New(t)
	f := newSplitFleet(1, 50, 50)
	r := rand.New(rand.NewPCG(1, 7))
	full := Load{Free: -9, Slots: 9, ServiceTime: 100 * ms, Backlog: 900 * ms}
	counts, refused := map[string]int{}, 0
	const calls = 300
	for range calls {
		agent := r.IntN(len(f.cores))
		s := f.send(agent)
		counts[s.Service]++
		core := f.cores[agent]
		for s.Service == "part-0" && s.Attempt > 0 {
			actions := core.Step(epoch, AttemptRefused{Call: s.Call, Attempt: s.Attempt, Reason: wire.ReasonQueueFull, RetryAfter: 900 * ms, Load: full})
			s = SendAttempt{}
			for _, a := range actions {
				switch a := a.(type) {
				case SendAttempt:
					c.Assert(a.Service, qt.Equals, "part-0")
					s = a
				case RefuseCall:
					c.Check(a.MayHaveRun, qt.IsFalse)
					refused++
				}
			}
		}
	}
	c.Check(refused, qt.Equals, counts["part-0"])
	c.Check(math.Abs(float64(counts["part-1"])/calls-0.5) <= splitTolerance, qt.IsTrue, qt.Commentf("%v", counts))
}
