package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// A machine that keeps its speed for a second and one that changes it every 100 ms: an old report
// of the first one counts, one of the second does not. Without this, agents avoid machines that
// have been fast again for long, or trust figures that say nothing.
func TestFactorOfOldReport(t *testing.T) {
	tests := map[string]struct {
		period   time.Duration // between two changes
		min, max float64       // expected factor 200 ms after a report of 250
	}{
		"speed changes every 100 ms": {100 * ms, 1.5, 1.95},
		"speed changes every 2 s":    {2 * time.Second, 2.1, 2.5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tr, m, now := Tracker{}, &Memory{}, time.Unix(0, 0)
			for i := range 400 {
				changes := uint64(now.Sub(time.Unix(0, 0)) / tc.period)
				tr.Record(now, 100+150*rand.New(rand.NewPCG(changes, 1)).IntN(2), m)
				now = now.Add(time.Duration(100+37*(i%7)) * ms)
			}
			tr.Record(now, 250, m)
			f := tr.Factor(now.Add(200*ms), m)
			c.Check(f >= tc.min && f <= tc.max, qt.IsTrue, qt.Commentf("factor %.2f", f))
		})
	}
}

// Work that took 250 ms on a machine at 250 counts as 100 ms, whether its speed changed meanwhile
// or not; figures out of range change nothing. Without this, the learned service time of a route
// follows the neighbours of its machine.
func TestNormal(t *testing.T) {
	c := qt.New(t)
	tr, now := Tracker{}, time.Unix(0, 0)
	c.Check(tr.Normal(now, 250*ms, 0), qt.Equals, 250*ms)
	tr.Record(now, 250, nil)
	start := tr.Progress(now)
	now = now.Add(250 * ms)
	tr.Record(now, 250, nil)
	tr.Record(now, 0, nil)
	tr.Record(now, maxPercent+1, nil)
	c.Check(tr.Percent(now, nil), qt.Equals, int32(250))
	c.Check(math.Abs(float64(tr.Normal(now, 250*ms, start)-100*ms)) < float64(ms), qt.IsTrue)
	start = tr.Progress(now)
	tr.Record(now.Add(125*ms), 250, nil)
	tr.Record(now.Add(125*ms), 100, nil)
	now = now.Add(175 * ms)
	tr.Record(now, 100, nil)
	c.Check(math.Abs(float64(tr.Normal(now, 175*ms, start)-100*ms)) < float64(ms), qt.IsTrue)
}
