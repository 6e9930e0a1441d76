package tenants

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against a fleet that keeps only half of its limits for seconds after a planned stop of half
// of its agents, and against a part that falls to the others although its agent may still use it.
func TestDepartedMembers(t *testing.T) {
	const members = 10
	tests := map[string]struct {
		leaves    bool // the agents that end say so
		repeated  bool // their last reports arrive twice
		listed    int  // members that the granter knows afterwards
		wantCount int
	}{
		"said so":              {leaves: true, listed: members - 5, wantCount: members - 5},
		"said so twice":        {leaves: true, repeated: true, listed: members - 5, wantCount: members - 5},
		"still listed as well": {leaves: true, listed: members - 2, wantCount: members - 2},
		"session only ended":   {listed: members - 5, wantCount: members},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := &Allocator{Quota: testQuota}
			a.Configure(1, map[string]Limit{"a": {RatePerSecond: 100, Burst: 100}})
			now := time.Unix(1e6, 0)
			a.SetMembers(now, members, members, members)
			for id := uint64(1); id <= members; id++ {
				g := a.Report(now, id, &wire.TenantReport{Session: 1, Seq: 1, Members: members, LeaseMS: 750, Start: true})
				now = now.Add(10 * time.Millisecond)
				a.Report(now, id, &wire.TenantReport{Session: 1, Seq: 2, Members: members, LeaseMS: 750, Echo: g.Clock, Delegates: true})
			}
			c.Assert(a.Delegating(), qt.Equals, members)
			for id := uint64(1); id <= 5; id++ {
				r := &wire.TenantReport{Session: 1, Seq: 3, Members: members, LeaseMS: 750, Release: true, Leaves: tc.leaves}
				a.Report(now, id, r)
				if tc.repeated {
					a.Report(now, id, r)
				}
			}
			now = now.Add(shareInterval)
			a.SetMembers(now, tc.listed, members, members)
			a.expire(now)
			c.Check(a.count.n, qt.Equals, tc.wantCount)
			c.Check(a.HasDeparted(1), qt.Equals, tc.leaves)
		})
	}
}
