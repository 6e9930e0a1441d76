package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Noisy neighbours and heterogeneous servers, by what the servers of the own domain, 1 and 2, and of
// another, 3 and 4, have told. A server that is slow now is avoided while its report is new. Without
// the speed, calls go on to a server whose usual service time is short.
func TestChooseBySpeed(t *testing.T) {
	report := func(service time.Duration, speed int) Load {
		return Load{Free: 8, Slots: 10, ServiceTime: service, Speed: speed}
	}
	tests := map[string]struct {
		loads  [4]Load
		age    time.Duration // of the reports
		prefer bool
		want   []uint64
	}{
		"all as usual":                           {[4]Load{report(70*ms, 100), report(100*ms, 100), report(100*ms, 100), report(100*ms, 100)}, 0, false, []uint64{1}},
		"the fastest is slow now":                {[4]Load{report(70*ms, 250), report(100*ms, 100), report(100*ms, 100), report(100*ms, 100)}, 0, false, []uint64{2}},
		"it was slow long ago":                   {[4]Load{report(70*ms, 250), report(100*ms, 100), report(100*ms, 100), report(100*ms, 100)}, 5 * time.Second, false, []uint64{1}},
		"the domain is slow now":                 {[4]Load{report(80*ms, 180), report(80*ms, 180), report(80*ms, 100), report(80*ms, 100)}, 0, false, []uint64{3, 4}},
		"slow, but in time, domain preferred":    {[4]Load{report(80*ms, 180), report(80*ms, 180), report(80*ms, 100), report(80*ms, 100)}, 0, true, []uint64{1, 2}},
		"not in time, domain preferred":          {[4]Load{report(80*ms, 300), report(80*ms, 300), report(80*ms, 100), report(80*ms, 100)}, 0, true, []uint64{3, 4}},
		"much earlier elsewhere, though in time": {[4]Load{report(190*ms, 100), report(190*ms, 100), report(10*ms, 100), report(10*ms, 100)}, 0, true, []uint64{3, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newObjectiveCore()
			c.Settings.PreferDomain = tc.prefer
			for i, l := range tc.loads {
				c.members[uint64(i+1)].recordLoad(epoch, "read", l)
			}
			for call := range uint64(5) {
				var got SendAttempt
				for _, a := range c.Step(epoch.Add(tc.age), CallArrived{Call: call + 1, Policy: readPolicy, Remaining: time.Second, Objective: 300 * ms}) {
					if s, ok := a.(SendAttempt); ok {
						got = s
					}
				}
				qt.Check(t, tc.want, qt.Contains, got.Member)
			}
		})
	}
}
