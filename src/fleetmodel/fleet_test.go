package fleetmodel

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	ms             = time.Millisecond
	readWork       = 86 * ms
	payWork        = 110 * ms
	payShare       = 0.2   // of the load
	allowedLoss    = 0.1   // of what a scheduler that knows everything would serve in time
	servers, slots = 66, 4 // of the large fleet
)

// largeFleet returns a fleet with many servers of few slots, so that each agent seldom calls each of them. load is the offered work as a share of the slots.
func largeFleet(load float64) *Fleet {
	rate := func(share float64, work time.Duration) float64 {
		return share * load * servers * slots / work.Seconds()
	}
	return &Fleet{
		Services: []Service{{Name: "diary", Servers: servers, Slots: slots, Speeds: []float64{0.6, 1, 1.4}}},
		Routes: []Route{
			{Name: "read", Service: "diary", Rate: rate(1-payShare, readWork), Work: readWork, Objective: 300 * ms, Deadline: 1200 * ms, Priority: 2, Repeats: true},
			{Name: "pay", Service: "diary", Rate: rate(payShare, payWork), Work: payWork, Objective: 400 * ms, Deadline: 1500 * ms, Priority: 1, Repeats: true},
		},
		Delay: 2 * ms, Length: 6 * time.Second, Settle: 2 * time.Second, Seed: 1,
	}
}

// Loads on a large fleet. Of the reads, the share that the slots allow beside all payments is to be in time, less allowedLoss:
// a call is placed well although what its agent knows of the servers is old, and beyond the slots callers that come back do not displace those that can still be in time.
func TestLargeFleet(t *testing.T) {
	tests := map[string]struct{ load float64 }{
		"steady load":                            {0.7},
		"near the capacity":                      {0.95},
		"beyond the capacity, callers come back": {1.3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			results := largeFleet(tc.load).Run()
			read, pay := results["read"], results["pay"]
			possible := min(1, (1-payShare*tc.load)/((1-payShare)*tc.load))
			c.Check(read.InTimeShare() >= (1-allowedLoss)*possible, qt.IsTrue, qt.Commentf("%.3f of %.3f: %+v", read.InTimeShare(), possible, read))
			c.Check(pay.InTimeShare() >= 0.99, qt.IsTrue, qt.Commentf("%+v", pay))
			c.Check(read.Held <= read.Asked/100, qt.IsTrue, qt.Commentf("%d reads were refused after half of their time", read.Held))
		})
	}
}

// Inner calls beyond the capacity of the service that is called: the requests that need none of it are not affected,
// no request is held for long without being run, and the servers of the service that is called stay in use.
func TestInnerCallsBeyondCapacity(t *testing.T) {
	const checkWork, librarySlots = 15 * ms, 6
	f := &Fleet{
		Services: []Service{{Name: "reminders", Servers: 7, Slots: 6}, {Name: "library", Servers: 1, Slots: librarySlots}},
		Routes: []Route{
			{Name: "read", Service: "reminders", Rate: 300, Work: 60 * ms, Objective: 200 * ms, Deadline: 800 * ms, Priority: 2, Inner: "check", Calls: 2},
			{Name: "enrol", Service: "reminders", Rate: 140, Work: 78 * ms, Objective: 250 * ms, Deadline: 1000 * ms, Priority: 1},
			{Name: "check", Service: "library", Work: checkWork, Objective: 60 * ms, Deadline: 200 * ms, Priority: 1},
		},
		Delay: 2 * ms, Length: 6 * time.Second, Settle: time.Second, Seed: 1,
	}
	c := qt.New(t)
	results := f.Run()
	c.Check(results["enrol"].InTimeShare() >= 0.99, qt.IsTrue, qt.Commentf("%+v", results["enrol"]))
	c.Check(results["read"].Held <= results["read"].Asked/100, qt.IsTrue, qt.Commentf("%+v", results["read"]))
	used := float64(results["check"].Runs) * checkWork.Seconds() / (librarySlots * (f.Length - f.Settle).Seconds())
	c.Check(used >= 1-allowedLoss, qt.IsTrue, qt.Commentf("%.2f of the slots used: %+v", used, results["check"]))
}

// The same seed gives the same results.
func TestRunIsDeterministic(t *testing.T) {
	run := func() map[string]Result {
		f := largeFleet(1)
		f.Length, f.Settle = time.Second, 0
		return f.Run()
	}
	qt.Assert(t, run(), qt.DeepEquals, run())
}
