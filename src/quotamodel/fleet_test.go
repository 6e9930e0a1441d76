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
