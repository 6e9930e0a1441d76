package tenants

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against a granter that its followers' reports overload: 82 tenants, six credits a report.
func BenchmarkReport(b *testing.B) {
	limits := map[string]Limit{}
	for i := range 82 {
		limits[fmt.Sprint("tenant-", i)] = Limit{RatePerSecond: 100, Burst: 100}
	}
	a := &Allocator{Quota: testQuota}
	a.Configure(1, limits)
	now := time.Unix(1e6, 0)
	a.SetMembers(now, 80, 80, 80)
	reports, echoes := make([]wire.TenantReport, 80), make([]int64, 80)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(2 * time.Millisecond)
		agent := i % 80
		r := &reports[agent]
		r.Session, r.Seq, r.Members, r.LeaseMS = 1, uint64(i+1), 80, 750
		r.Start, r.Delegates, r.Echo = i < 80, true, echoes[agent]
		r.Credits = r.Credits[:0]
		for j := range 6 {
			h := a.hashes[(i+j*13)%82]
			r.Credits = append(r.Credits, wire.TenantCredit{Tenant: h, Spent: int64(i / 80), Refused: 1})
		}
		g := a.Report(now, uint64(agent+1), r)
		echoes[agent] = g.Clock
	}
}
