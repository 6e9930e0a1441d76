package quotamodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/tenants"
)

var quota = tenants.Quota{Window: 5 * time.Second, Over: 0.1, Slack: 20}

const (
	tenantCount = 82
	warmUp      = 12 * time.Second
	usual       = 1 / 1.6 // of the limit
)

// newFleet returns a fleet with the load of 82 tenants of usual size, running since warmUp; rate
// multiplies the usual rate of a tenant and may be nil, as may position.
func newFleet(agents int, d time.Duration, rate func(f *Fleet, rank int) float64, position func(f *Fleet, r *rand.Rand) int) *Fleet {
	f := &Fleet{Agents: agents, Domains: 4, Quota: quota, MaxWait: 31 * time.Millisecond, Limits: PowerLaw(tenantCount, 690*float64(agents)/80, 1.2), Seed: 7}
	f.Build()
	for i := range tenantCount {
		l := f.Limits[Name(i)].RatePerSecond * usual
		f.Load(Name(i), func() float64 {
			if rate == nil {
				return l
			}
			return l * rate(f, i)
		}, func(r *rand.Rand) int {
			if position == nil {
				return r.IntN(agents)
			}
			return position(f, r)
		}, warmUp+d)
	}
	f.Run(warmUp)
	f.ResetCounts()
	for _, t := range f.Tallies {
		*t = Tally{}
	}
	return f
}

// report logs the figures and returns the share refused of all and of the worst tenth of tenants.
func report(t *testing.T, name string, f *Fleet, d time.Duration) (all, worst float64) {
	var shares []float64
	asked, refused, bySize, bySizeAsked := 0, 0, [4]int{}, [4]int{}
	over := 0.0
	for i := range tenantCount {
		tally := f.Tallies[Name(i)]
		asked, refused = asked+tally.Asked, refused+tally.Refused
		size := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1}
		class := 3
		switch {
		case i < len(size):
			class = size[i]
		case i < 40:
			class = 2
		}
		bySize[class] += tally.Refused
		bySizeAsked[class] += tally.Asked
		if tally.Asked > 0 {
			shares = append(shares, float64(tally.Refused)/float64(tally.Asked))
		}
		over = max(over, float64(tally.Most(quota.Window, time.Time{}))/Bound(quota, f.Limits[Name(i)]))
	}
	slices.Sort(shares)
	tail := shares[len(shares)*9/10:]
	for _, s := range tail {
		worst += s / float64(len(tail))
	}
	all = float64(refused) / float64(asked)
	classes := ""
	for i, label := range []string{"largest", "2-10", "11-40", "41-82"} {
		classes += fmt.Sprintf(" %s %.4f", label, float64(bySize[i])/float64(max(1, bySizeAsked[i])))
	}
	served := 0
	for _, n := range f.Served {
		served = max(served, n)
	}
	per := d.Seconds() * float64(f.Agents)
	t.Logf("%s: agents %d asked/s %.0f refused %.4f (%s) worst tenth %.4f; per agent and second: %.2f messages %.0f bytes %.0f between domains; granter %.0f reports/s; most in a window, of the bound %.3f",
		name, f.Agents, float64(asked)/d.Seconds(), all, classes, worst, float64(f.Messages)/per, float64(f.Bytes)/per, float64(f.FarBytes)/per, float64(served)/d.Seconds(), over)
	return all, worst
}

// Guards against refusals below the limit in the steady state, and against a message per request.
func TestSteadyDemand(t *testing.T) {
	for _, agents := range []int{80, 300, 1000} {
		if testing.Short() && agents > 80 {
			continue
		}
		const d = 10 * time.Second
		f := newFleet(agents, d, nil, nil)
		f.Run(d)
		all, worst := report(t, "steady", f, d)
		qt.Check(t, all < 0.002, qt.IsTrue)
		qt.Check(t, worst < 0.02, qt.IsTrue)
	}
}

// Guards against refusals below the limit while all callers of two domains move to the others and
// back, each 3 s.
func TestCallersMove(t *testing.T) {
	const d = 12 * time.Second
	var start time.Time
	f := newFleet(80, d, nil, func(f *Fleet, r *rand.Rand) int {
		if start.IsZero() {
			start = f.Now().Add(warmUp)
		}
		p := r.IntN(80)
		if s := f.Now().Sub(start); s > 0 && int(s/(3*time.Second))%2 == 0 {
			p = p/2*2 + 1
		}
		return p
	})
	f.Run(d)
	all, worst := report(t, "callers move", f, d)
	qt.Check(t, all < 0.01, qt.IsTrue)
	qt.Check(t, worst < 0.05, qt.IsTrue)
}

// Guards against refusals below the limit while a twelfth of the agents is cut off from the others,
// each alone, for 8 s.
func TestTwelfthPartitioned(t *testing.T) {
	for name, alone := range map[string]bool{"each alone": true, "together": false} {
		t.Run(name, func(t *testing.T) {
			const d = time.Minute
			f := newFleet(80, d, nil, nil)
			f.Partition(func(i int) int {
				switch {
				case i%12 != 0:
					return 0
				case alone:
					return i + 1
				}
				return 1
			}, true)
			f.Run(8 * time.Second)
			f.Heal()
			f.Run(d - 8*time.Second)
			all, worst := report(t, "partition, "+name, f, d)
			qt.Check(t, all < 0.01, qt.IsTrue)
			qt.Check(t, worst < 0.1, qt.IsTrue)
		})
	}
}

// Guards against refusals below the limit while agents other than the granter restart, one each second.
func TestAgentsRestart(t *testing.T) {
	const d = time.Minute
	f := newFleet(80, d, nil, nil)
	granter := f.Granter()
	for i := range 50 {
		if i != granter {
			f.At(time.Duration(i)*time.Second, func() { f.Restart(i) })
		}
	}
	f.Run(d)
	all, worst := report(t, "restarts", f, d)
	qt.Check(t, all < 0.002, qt.IsTrue)
	qt.Check(t, worst < 0.02, qt.IsTrue)
}

// Guards against a granter's death that refuses more than the requests of a second.
func TestGranterKilled(t *testing.T) {
	const d = time.Minute
	f := newFleet(80, d, nil, nil)
	f.Kill(f.Granter())
	f.Run(d)
	all, _ := report(t, "granter killed", f, d)
	qt.Check(t, all*d.Seconds() < 1, qt.IsTrue)
}

// Guards against a greedy tenant that takes from the others, and against an excess of its own.
func TestGreedyTenant(t *testing.T) {
	for _, greed := range []float64{7.5, 20} {
		const d = 10 * time.Second
		const greedy = 2
		var start time.Time
		f := newFleet(80, d, func(f *Fleet, rank int) float64 {
			if start.IsZero() {
				start = f.Now().Add(warmUp)
			}
			if rank == greedy && f.Now().After(start) {
				return greed
			}
			return 1
		}, nil)
		f.Run(d)
		report(t, fmt.Sprintf("greedy x%v", greed), f, d)
		refused, asked := 0, 0
		for i := range tenantCount {
			tally := f.Tallies[Name(i)]
			if i != greedy {
				refused, asked = refused+tally.Refused, asked+tally.Asked
				continue
			}
			limit := f.Limits[Name(i)]
			t.Logf("greedy: asked %d admitted %d of at most %.0f by rate and burst", tally.Asked, tally.Asked-tally.Refused, limit.RatePerSecond*d.Seconds()+limit.Burst)
			qt.Check(t, float64(tally.Asked-tally.Refused) > 0.95*limit.RatePerSecond*d.Seconds(), qt.IsTrue, qt.Commentf("what the limit allows is used"))
			qt.Check(t, float64(tally.Most(quota.Window, time.Time{})) <= Bound(quota, limit), qt.IsTrue)
		}
		qt.Check(t, float64(refused)/float64(asked) < 0.002, qt.IsTrue)
	}
}

// Guards against a share that follows demand late: all requests of the largest tenant move to one
// agent at once.
func TestShareFollowsDemand(t *testing.T) {
	const d = 5 * time.Second
	var start time.Time
	f := newFleet(80, d, nil, func(f *Fleet, r *rand.Rand) int {
		if start.IsZero() {
			start = f.Now().Add(warmUp)
		}
		if f.Now().After(start) {
			return 3
		}
		return r.IntN(80)
	})
	f.Run(d)
	report(t, "all to one agent", f, d)
	tally := f.Tallies[Name(0)]
	last := time.Duration(0)
	for _, at := range tally.RefusedAt {
		last = max(last, at.Sub(start))
	}
	t.Logf("largest tenant: refused %d of %d, the last after %s", tally.Refused, tally.Asked, last)
	qt.Check(t, last < 500*time.Millisecond, qt.IsTrue)
}
