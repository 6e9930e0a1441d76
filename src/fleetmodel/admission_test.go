package fleetmodel

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/booking"
)

// overload is a fleet with two kinds of one rank, one more urgent and one less urgent kind; load is
// the offered work as a share of the slots.
func overload(policy booking.Policy, load float64, seed uint64) *Fleet {
	const servers, slots = 12, 6
	f := &Fleet{
		Services: []Service{{Name: "desk", Servers: servers, Slots: slots}},
		Routes: []Route{
			{Name: "check-in", Rate: 1030, Work: 140 * ms, Objective: 500 * ms, Deadline: 1200 * ms, Priority: 1, Repeats: true},
			{Name: "charge", Rate: 526, Work: 180 * ms, Objective: 600 * ms, Deadline: 1500 * ms, Priority: 1, Repeats: true},
			{Name: "upload", Rate: 146, Work: 170 * ms, Objective: time.Second, Deadline: 1500 * ms, Priority: 2, Repeats: true},
			{Name: "schedule", Rate: 297, Work: 56 * ms, Objective: 250 * ms, Deadline: 600 * ms, Repeats: true},
		},
		Delay: ms, Length: 12 * time.Second, Settle: 2 * time.Second, Seed: seed, Policy: policy,
	}
	work := 0.0
	for _, r := range f.Routes {
		work += r.Rate * r.Work.Seconds()
	}
	for i := range f.Routes {
		f.Routes[i].Service = "desk"
		f.Routes[i].Rate *= load * servers * slots / work
	}
	return f
}

// Overload by two kinds of one rank, with callers that come back: the kind with the shorter work is
// in time more often, which the present order by latest start reverses, since it queues the kind
// with the longer objective when the other has no chance left.
// More urgent kinds precede less urgent ones, and each kind is served at least a quarter as often as all.
func TestOverloadByTwoKinds(t *testing.T) {
	for _, load := range []float64{1.3, 2.2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			c := qt.New(t)
			results := overload(booking.PolicyValue, load, 1).Run()
			served := func(r Result) float64 { return float64(r.InTime+r.Late) / float64(r.Asked) }
			checkIn, charge, upload, schedule := results["check-in"], results["charge"], results["upload"], results["schedule"]
			c.Check(checkIn.InTimeShare() >= charge.InTimeShare()+0.2, qt.IsTrue, qt.Commentf("%+v, %+v", checkIn, charge))
			c.Check(schedule.InTimeShare() >= 0.95, qt.IsTrue, qt.Commentf("%+v", schedule))
			for _, r := range []Result{checkIn, charge} {
				c.Check(served(r) >= served(upload)-0.05, qt.IsTrue, qt.Commentf("%+v, %+v", r, upload))
				c.Check(r.InTimeShare() >= upload.InTimeShare()-0.15, qt.IsTrue, qt.Commentf("%+v, %+v", r, upload))
			}
			var all Result
			for _, r := range results {
				all.Asked, all.InTime, all.Late = all.Asked+r.Asked, all.InTime+r.InTime, all.Late+r.Late
			}
			for name, r := range results {
				c.Check(served(r) >= served(all)/4, qt.IsTrue, qt.Commentf("%s served %.3f, all %.3f", name, served(r), served(all)))
				c.Check(r.Held <= r.Asked/20, qt.IsTrue, qt.Commentf("%s: %d refused after half of their time", name, r.Held))
			}
		})
	}
}

// BenchmarkAdmission prints the figures by kind of docs/design/load.md; run it with -benchtime 1x.
func BenchmarkAdmission(b *testing.B) {
	for _, load := range []float64{0.9, 1.1, 1.3, 1.6, 2.2, 3} {
		for _, policy := range []booking.Policy{booking.PolicyPriority, booking.PolicyValue} {
			for name, r := range overload(policy, load, 1).Run() {
				share := func(n int) float64 { return float64(n) / float64(r.Asked) }
				fmt.Printf("load %.1f %-8s %-8s asked %5d, in time %.3f, late %.3f, refused at once %.3f, after waiting %.3f, attempts %.2f\n", load, policy, name,
					r.Asked, share(r.InTime), share(r.Late), share(r.Refused-r.Waited), share(r.Waited), share(r.Attempts))
			}
		}
	}
}
