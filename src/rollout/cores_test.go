package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a call that runs at a version to which nothing allows it to be routed, and against
// one refused that is allowed.
func TestGate(t *testing.T) {
	now := time.Unix(1000, 0)
	type step func(g *Gate)
	in := func(stage Stage) step {
		return func(g *Gate) { g.Update(Routing{Order: 5, TargetVersion: "2", Stage: stage}) }
	}
	permit := func(age time.Duration) step { return func(g *Gate) { g.Permit(now.Add(-age), 5) } }
	stop := func(g *Gate) { g.Stop(5) }
	tests := map[string]struct {
		version string
		steps   []step
		order   uint64 // in the call's head
		want    Admission
	}{
		"no order":                             {"2", nil, 0, AdmissionRun},
		"new, no record yet":                   {"2", []step{in(StageNone), permit(0)}, 5, AdmissionNotProceeded},
		"new, permit":                          {"2", []step{in(StageCanary), permit(time.Second)}, 5, AdmissionRun},
		"new, permit before the next stage":    {"2", []step{in(StageCanary), permit(time.Second), in(StageShift)}, 5, AdmissionRun},
		"new, permit expired":                  {"2", []step{in(StageCanary), permit(permitTime)}, 5, AdmissionNoPermit},
		"new, no permit":                       {"2", []step{in(StageShift)}, 5, AdmissionNoPermit},
		"new, sender without the order":        {"2", []step{in(StageShift), permit(0)}, 0, AdmissionOtherOrder},
		"new, sender of another order":         {"2", []step{in(StageShift), permit(0)}, 4, AdmissionOtherOrder},
		"new, stopped":                         {"2", []step{in(StageShift), permit(0), stop}, 5, AdmissionStopped},
		"new, rolled back":                     {"2", []step{in(StageRolledBack), permit(0)}, 5, AdmissionRolledBack},
		"new, completed, sender behind":        {"2", []step{in(StageCompleted)}, 0, AdmissionRun},
		"old, canary":                          {"1", []step{in(StageCanary)}, 0, AdmissionRun},
		"old, shift":                           {"1", []step{in(StageShift)}, 5, AdmissionRun},
		"old, drained":                         {"1", []step{in(StageDrainOld)}, 5, AdmissionOldVersion},
		"old, drained but new version stopped": {"1", []step{in(StageDrainOld), stop}, 5, AdmissionRun},
		"old, completed":                       {"1", []step{in(StageCompleted)}, 5, AdmissionOldVersion},
		"old, rolled back":                     {"1", []step{in(StageRolledBack)}, 0, AdmissionRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := &Gate{Version: tc.version}
			for _, s := range tc.steps {
				s(g)
			}
			qt.Check(t, g.Admit(now, tc.order), qt.Equals, tc.want)
		})
	}
}

// Guards against an exposure beyond the bound when senders differ in their load, and against routes
// with few requests of which the canary sees nothing.
func TestLimiter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	r := Routing{Order: 5, TargetVersion: "2", Stage: StageCanary, Started: now, Duration: 14 * time.Second}
	senders, news, rare, rareNews := make([]Limiter, 50), 0, 0, 0
	for n := range 20000 {
		l := &senders[min(random.IntN(50), random.IntN(50))]
		l.ExposureShare = 0.1
		route := "common"
		if random.IntN(20) == 0 {
			route, rare = "rare", rare+1
		}
		if l.Next(now, route, r) {
			news++
			if route == "rare" {
				rareNews++
			}
		}
		qt.Assert(t, float64(news) <= senderShare*0.1*float64(n+1), qt.IsTrue)
	}
	qt.Check(t, float64(news) > 0.06*20000, qt.IsTrue, qt.Commentf("%d", news))
	qt.Check(t, float64(rareNews) > 1.5*senderShare*0.1*float64(rare), qt.IsTrue, qt.Commentf("%d of %d", rareNews, rare))
	qt.Check(t, float64(rareNews) <= rareRouteFactor*senderShare*0.1*float64(rare)+50, qt.IsTrue, qt.Commentf("%d of %d", rareNews, rare))

	// Requests that no server runs allow none to the new version.
	dropping := &Limiter{ExposureShare: 0.1}
	for range 1000 {
		if !dropping.Next(now, "common", r) {
			dropping.Dropped("common")
		}
	}
	_, toNew := dropping.Counts()
	qt.Check(t, toNew, qt.Equals, uint64(0))

	// A shift that does not go on, as while the store is down, stays within the bound as well.
	l := &Limiter{ExposureShare: 0.1}
	r.Stage, r.Share = StageShift, 0.5
	for n := range 14000 {
		l.Next(now.Add(time.Duration(n)*time.Millisecond), "common", r)
	}
	_, toNew = l.Counts()
	qt.Check(t, toNew <= 1400, qt.IsTrue, qt.Commentf("%d", toNew))
}

// Guards against a canary set that depends on who computes it, sits in one domain, or spreads the
// canary's requests so thinly that a failure under load does not show.
func TestCanarySet(t *testing.T) {
	var servers []Server
	for i := range 124 {
		s := Server{ID: uint64(i + 1), Domain: string(rune('a' + i%4)), Version: "1", Slots: 6, Ready: true}
		if i >= 62 {
			s.Version = "2"
		}
		servers = append(servers, s)
	}
	tests := map[string]struct {
		r    Routing
		want int
	}{
		"canary":       {Routing{Order: 5, TargetVersion: "2", Stage: StageCanary}, 5},
		"quarter":      {Routing{Order: 5, TargetVersion: "2", Stage: StageShift, Share: 0.25}, 16},
		"all requests": {Routing{Order: 5, TargetVersion: "2", Stage: StageShift, Share: 1}, 62},
		"drain":        {Routing{Order: 5, TargetVersion: "2", Stage: StageDrainOld}, 62},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			set := tc.r.CanarySet(0.1, servers)
			qt.Check(t, set.Size(), qt.Equals, tc.want)
			domains := map[string]bool{}
			for _, s := range servers {
				if set.Contains(s.ID) {
					qt.Check(t, s.Version, qt.Equals, "2")
					domains[s.Domain] = true
				}
			}
			qt.Check(t, domains, qt.HasLen, 4)
			shuffled := append([]Server(nil), servers...)
			rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			qt.Check(t, tc.r.CanarySet(0.1, shuffled).ids, qt.DeepEquals, set.ids)
		})
	}
}

// Guards against one crash that counts as many failures, and against a cold server judged slow.
func TestTally(t *testing.T) {
	now := time.Unix(1000, 0)
	var tally Tally
	for i := range 24 {
		tally.Add(now.Add(time.Duration(i/12)*time.Minute), Sample{Route: "r", Outcome: OutcomeCrashed, Load: 1})
		tally.Add(now, Sample{Route: "r", Duration: 8 * time.Second, Cold: true})
		tally.Add(now, Sample{Route: "r", Duration: 8 * time.Second, Outcome: OutcomeHung, Cold: true})
		tally.Add(now, Sample{Route: "r", Outcome: OutcomeIgnored})
	}
	tally.Add(now, Sample{Route: "r", Duration: 100 * time.Millisecond})
	got := tally.Routes()[0]
	qt.Check(t, got.Failures, qt.DeepEquals, []uint32{0, 13}) // the first crash once, the second for each call
	qt.Check(t, got.Answers, qt.DeepEquals, []uint32{25, 13})
	qt.Check(t, got.Low, qt.DeepEquals, []uint32{1})
	qt.Check(t, int(got.First), qt.Equals, durationClass(100*time.Millisecond))
	b, err := got.MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(b) < 100, qt.IsTrue, qt.Commentf("%d bytes", len(b)))

	p := Plan{Order: Order{"shop", "2", 14 * time.Second, 50}, ID: 7, Stage: StageShift, Share: 0.25, Step: 2, Elapsed: 7 * time.Second, Reason: "due", Earlier: []uint64{3}}
	decoded, err := DecodePlan(p.Encode())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, decoded, qt.DeepEquals, p)
	_, err = DecodePlan([]byte("x"))
	qt.Check(t, err, qt.ErrorMatches, ".*order the rollout again")
}
