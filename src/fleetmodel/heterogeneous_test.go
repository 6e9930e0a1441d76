package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// heterogeneous is a fleet with servers of different speeds, some of them on noisy machines.
type heterogeneous struct {
	servers  int
	load     float64 // offered work as a share of what the servers can do
	period   time.Duration
	noisy    float64 // share of the servers
	told     bool
	demand   []float64
	prefer   bool
	baseline Baseline
}

const (
	noiseFactor = 2.5
	fleetSlots  = 9
)

func (h heterogeneous) fleet(seed uint64) *Fleet {
	speeds := []float64{0.5, 0.8, 1.1, 1.4, 1.7}
	kinds := []Route{
		{Name: "status", Rate: 968, Work: 100 * ms, Objective: 400 * ms, Deadline: time.Second, Priority: 1, Body: 300, Answer: 1500},
		{Name: "filing", Rate: 361, Work: 140 * ms, Objective: 500 * ms, Deadline: 1200 * ms, Priority: 1, Body: 2000, Answer: 400},
		{Name: "payment", Rate: 295, Work: 72 * ms, Objective: 300 * ms, Deadline: 600 * ms, Body: 800, Answer: 400},
		{Name: "archive", Rate: 136, Work: 410 * ms, Objective: 1500 * ms, Deadline: 4 * time.Second, Priority: 2, Body: 300, Answer: 6000},
	}
	capacity, work := 0.0, 0.0
	for i := range h.servers {
		s := speeds[i%len(speeds)] * fleetSlots
		if h.period > 0 {
			s *= 1 - h.noisy*(1-(1+1/noiseFactor)/2)
		}
		capacity += s
	}
	for _, r := range kinds {
		work += r.Rate * r.Work.Seconds()
	}
	f := &Fleet{
		Services: []Service{{Name: "office", Servers: h.servers, Slots: fleetSlots, Speeds: speeds}},
		Delay:    ms / 2, DomainDelay: ms, DomainDemand: h.demand, PreferDomain: h.prefer, Baseline: h.baseline,
		Length: 5 * time.Second, Settle: 2 * time.Second, Seed: seed,
	}
	if h.period > 0 {
		f.Services[0].Noise = Noise{Share: h.noisy, Factor: noiseFactor, Period: h.period, Told: h.told}
	}
	for _, r := range kinds {
		r.Service = "office"
		r.Rate *= h.load * capacity / work
		f.Routes = append(f.Routes, r)
	}
	return f
}

// shares returns the share of all requests that were served in time, the attempts that crossed
// failure domains as a share of all, and the bytes that crossed them per request.
func (h heterogeneous) shares(seed uint64) (inTime, crossed, bytes float64) {
	var asked, served, attempts, crossing, crossBytes int
	for _, r := range h.fleet(seed).Run() {
		asked, served = asked+r.Asked, served+r.InTime
		attempts, crossing, crossBytes = attempts+r.Attempts, crossing+r.Crossed, crossBytes+r.CrossBytes
	}
	return float64(served) / float64(asked), float64(crossing) / float64(attempts), float64(crossBytes) / float64(asked)
}

// Noisy neighbours on all machines, beyond the capacity: servers that tell their current speed serve
// more in time. Without the speed in expected latencies and waits, calls go to servers that are slow
// now and wait there longer than estimated.
func TestNoisyNeighbours(t *testing.T) {
	h := heterogeneous{servers: 30, load: 1.1, period: 2 * time.Second, noisy: 1}
	untold, _, _ := h.shares(1)
	h.told = true
	told, _, _ := h.shares(1)
	qt.Assert(t, told >= untold+0.02, qt.IsTrue, qt.Commentf("%.3f told, %.3f untold", told, untold))
}

// Heterogeneous servers, with the demand of one failure domain above that of the others. With
// PreferDomain far fewer bytes cross failure domains and about as many requests are served in time,
// also where the domain lacks capacity that its neighbours have: it then sends on what it lacks.
func TestPreferDomain(t *testing.T) {
	tests := map[string]struct {
		demand   []float64
		load     float64
		maxBytes float64 // that cross, as a share of those without the preference
	}{
		"balanced demand, near the capacity":            {nil, 0.95, 0.2},
		"one domain with 1.5 times the demand":          {[]float64{1.5, 1, 1}, 0.95, 0.25},
		"one domain short of capacity, neighbours idle": {[]float64{4, 1, 1}, 0.7, 0.8},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := heterogeneous{servers: 30, load: tc.load, period: 600 * ms, noisy: 0.15, told: true, demand: tc.demand}
			inTime, _, bytes := h.shares(1)
			h.prefer = true
			preferInTime, _, preferBytes := h.shares(1)
			c.Check(preferInTime >= inTime-0.02, qt.IsTrue, qt.Commentf("%.4f in time, %.4f without", preferInTime, inTime))
			c.Check(preferBytes <= tc.maxBytes*bytes, qt.IsTrue, qt.Commentf("%.0f bytes a request cross, %.0f without", preferBytes, bytes))
		})
	}
}

// BenchmarkSelection prints the figures of docs/design/load.md; run it with -benchtime 1x.
func BenchmarkSelection(b *testing.B) {
	uneven := []float64{1.5, 1, 1}
	kinds := map[string]func(h *heterogeneous){
		"dispatch":        func(*heterogeneous) {},
		"dispatch_told":   func(h *heterogeneous) { h.told = true },
		"dispatch_domain": func(h *heterogeneous) { h.told, h.prefer = true, true },
		"two_choices":     func(h *heterogeneous) { h.baseline = TwoChoices },
		"least_loaded":    func(h *heterogeneous) { h.baseline = LeastLoaded },
		"probing":         func(h *heterogeneous) { h.told, h.baseline = true, Probing },
	}
	for _, noisy := range []float64{0.15, 1} {
		for _, servers := range []int{10, 72, 300} {
			for _, load := range []float64{0.7, 0.95, 1.1} {
				for _, period := range []time.Duration{0, 100 * ms, 600 * ms, 2 * time.Second} {
					for _, demand := range [][]float64{nil, uneven} {
						for kind, set := range kinds {
							h := heterogeneous{servers: servers, load: load, period: period, noisy: noisy, demand: demand}
							set(&h)
							b.Run(fmt.Sprintf("noisy=%.2f/servers=%d/load=%.2f/noise=%s/uneven=%t/%s", noisy, servers, load, period, demand != nil, kind), func(b *testing.B) {
								for range b.N {
									inTime, crossed, bytes := h.shares(1)
									b.ReportMetric(inTime, "in_time")
									b.ReportMetric(crossed, "crossed")
									b.ReportMetric(bytes, "cross_bytes/request")
								}
							})
						}
					}
				}
			}
		}
	}
}
