package quotamodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/tenants"
)

// Guards against any schedule of partitions, kills, restarts, freezes, granter changes and moving
// callers by which a tenant gets more than its quota in some window.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		agents := rapid.IntRange(2, 24).Draw(rt, "agents")
		limits := map[string]tenants.Limit{
			"a": {RatePerSecond: rapid.SampledFrom([]float64{1, 8, 60, 200}).Draw(rt, "rate"), Burst: rapid.SampledFrom([]float64{0, 5, 60, 200}).Draw(rt, "burst")},
			"b": {RatePerSecond: 30, Burst: 30},
		}
		greed := rapid.SampledFrom([]float64{0.6, 1, 2, 7.5}).Draw(rt, "greed")
		f := &Fleet{Agents: agents, Domains: 4, Quota: quota, MaxWait: 31 * time.Millisecond, Limits: limits,
			Seed: rapid.Uint64().Draw(rt, "seed"), NotRun: rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "not run")}
		slow := rapid.SampledFrom([]time.Duration{1, 20 * time.Millisecond, 400 * time.Millisecond}).Draw(rt, "delay")
		f.Build()
		f.Delay = func() time.Duration { return time.Duration(f.rand.Int64N(int64(slow))) }
		focus, rate := -1, 1.0
		const d = 45 * time.Second
		for _, name := range []string{"a", "b"} {
			l := limits[name]
			f.Load(name, func() float64 { return l.RatePerSecond * greed * rate }, func(r *rand.Rand) int {
				if focus >= 0 && r.IntN(4) > 0 {
					return focus
				}
				return r.IntN(agents)
			}, d)
		}
		events := []string{}
		for end := f.Now().Add(d); f.Now().Before(end); {
			position := rapid.IntRange(0, agents-1).Draw(rt, "position")
			kind := rapid.IntRange(0, 10).Draw(rt, "kind")
			events = append(events, fmt.Sprint(kind, " ", position))
			switch kind {
			case 0:
				sides, seed := rapid.IntRange(2, 4).Draw(rt, "sides"), rapid.IntRange(1, 1000).Draw(rt, "sides by")
				f.Partition(func(i int) int { return i * seed / 7 % sides }, rapid.Bool().Draw(rt, "lists follow"))
			case 1:
				f.Partition(func(i int) int {
					if i == position {
						return 1
					}
					return 0
				}, rapid.Bool().Draw(rt, "lists follow"))
			case 2:
				f.Heal()
			case 3:
				f.Restart(position)
			case 4:
				f.Restart(f.Granter())
			case 5:
				f.Freeze(position, time.Duration(rapid.IntRange(100, 9000).Draw(rt, "freeze ms"))*time.Millisecond)
			case 6:
				f.Freeze(f.Granter(), time.Duration(rapid.IntRange(100, 9000).Draw(rt, "freeze ms"))*time.Millisecond)
			case 7:
				focus = position
			case 8:
				focus = -1
			case 9:
				rate = 0.05 // credit gathers
			case 10:
				rate = 1
			}
			f.Run(time.Duration(rapid.IntRange(10, 6000).Draw(rt, "ms")) * time.Millisecond)
		}
		for name, l := range limits {
			most := f.Tallies[name].Most(quota.Window, time.Time{})
			if float64(most) > Bound(quota, l) {
				rt.Fatalf("tenant %s: %d requests in a window, bound %.1f; events %v", name, most, Bound(quota, l), events)
			}
		}
	})
}

// Guards against a lowered limit that isn't in force one window after all agents have it.
func TestLoweredLimitBinds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const agents, before = 20, 200.0
		after := rapid.SampledFrom([]float64{1, 10, 50}).Draw(rt, "rate")
		f := &Fleet{Agents: agents, Domains: 4, Quota: quota, MaxWait: 31 * time.Millisecond, Seed: rapid.Uint64().Draw(rt, "seed"),
			Limits: map[string]tenants.Limit{"a": {RatePerSecond: before, Burst: before}}}
		f.Build()
		rate := rapid.SampledFrom([]float64{20, 125}).Draw(rt, "first rate")
		f.Load("a", func() float64 { return rate }, func(r *rand.Rand) int { return r.IntN(agents) }, 30*time.Second)
		f.Run(10 * time.Second)
		l := tenants.Limit{RatePerSecond: after, Burst: after}
		f.SetLimits(map[string]tenants.Limit{"a": l}, 2500*time.Millisecond)
		f.Run(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "quiet ms")) * time.Millisecond)
		rate = 400
		f.Run(20 * time.Second)
		binding := time.Unix(1e6, 0).Add(10*time.Second + 2500*time.Millisecond + quota.Window)
		most := f.Tallies["a"].Most(quota.Window, binding.Add(-quota.Window))
		if float64(most) > Bound(quota, l) {
			rt.Fatalf("%d requests in a window, bound %.1f", most, Bound(quota, l))
		}
	})
}
