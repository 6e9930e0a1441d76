package fleetmodel

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitedFleet returns six servers, each pair of which may name a limit, 0 for none. load is the
// offered work as a share of what all can run.
func limitedFleet(load float64, limits []float64) *Fleet {
	const slots, work = 12, 220 * ms
	speeds := []float64{1.5, 0.5, 1}
	capacity := 0.0
	for i, speed := range speeds {
		perSecond := slots * speed / work.Seconds()
		if limits[i] > 0 {
			perSecond = limits[i]
		}
		capacity += 2 * perSecond
	}
	rate := load * capacity
	return &Fleet{
		Services: []Service{{Name: "diary", Servers: 2 * len(speeds), Slots: slots, Speeds: speeds, Limits: limits}},
		Routes: []Route{
			{Name: "read", Service: "diary", Rate: (1 - payShare) * rate, Work: work, Objective: 600 * ms, Deadline: 2500 * ms, Priority: 2, Repeats: true},
			{Name: "pay", Service: "diary", Rate: payShare * rate, Work: work, Objective: 800 * ms, Deadline: 3 * time.Second, Priority: 1, Repeats: true},
		},
		Delay: 2 * ms, Length: 10 * time.Second, Settle: 3 * time.Second, Seed: 1,
	}
}

// maxInWindow returns the largest number of times in a window, from the given time on.
func maxInWindow(times []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(from) && first < i || at.Sub(times[first]) >= window {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Servers that name a limit in their answers: none gets more than that in any 4 s, all agents
// together, and the other servers take the rest. What can be served is served as well as by a fleet
// without limits at the same share of its capacity, less allowedLoss.
func TestNamedLimit(t *testing.T) {
	const limit = 25 // calls a second
	fastest, all := []float64{limit, 0, 0}, []float64{limit, limit, limit}
	tests := map[string]struct {
		limits []float64
		load   float64
		usedUp bool // the calls offered to the servers with a limit exceed it
	}{
		"fastest servers, the others have room":                       {fastest, 0.7, true},
		"fastest servers, near the capacity left":                     {fastest, 0.9, true},
		"fastest servers, beyond the capacity left":                   {fastest, 1.2, true},
		"fastest servers, far beyond the capacity, callers come back": {fastest, 1.8, true},
		"all servers, room":                                           {all, 0.7, false},
		"all servers, near their limits":                              {all, 0.95, false},
		"all servers, beyond their limits":                            {all, 1.2, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := limitedFleet(tc.load, tc.limits)
			results := f.Run()
			for _, a := range f.agents {
				if a.limit == 0 {
					continue
				}
				n := maxInWindow(a.admitted, f.start.Add(f.Settle), 4*time.Second)
				c.Check(float64(n) <= 1.5*4*limit+5, qt.IsTrue, qt.Commentf("%d calls in 4 s", n))
				c.Check(!tc.usedUp || float64(n) >= (1-allowedLoss)*4*limit, qt.IsTrue, qt.Commentf("only %d calls in 4 s", n))
			}
			want := limitedFleet(tc.load, make([]float64, len(tc.limits))).Run()["read"].InTimeShare() - allowedLoss
			read, pay := results["read"], results["pay"]
			c.Check(read.InTimeShare() >= want, qt.IsTrue, qt.Commentf("%.3f of %.3f: %+v", read.InTimeShare(), want, read))
			c.Check(pay.InTimeShare() >= 0.99, qt.IsTrue, qt.Commentf("%+v", pay))
			c.Check(read.Held <= read.Asked/100, qt.IsTrue, qt.Commentf("%d reads were refused after half of their time", read.Held))
		})
	}
}
