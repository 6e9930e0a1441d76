package deposit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/standin"
)

// BenchmarkStoreOverload offers payments for three seconds through twelve holders that share a store limited to 400 writes per second. It offers them at a rate per second over all holders; the budget is the WritesPerSecond of each holder, -1 for no limit.
func BenchmarkStoreOverload(b *testing.B) {
	const holders, seconds = 12, 3
	for _, tc := range []struct{ offered, budget int }{{100, 20}, {150, 20}, {300, 20}, {300, -1}, {1000, 20}, {1000, -1}} {
		b.Run(fmt.Sprintf("offered=%d/budget=%d", tc.offered, tc.budget), func(b *testing.B) {
			c := qt.New(b)
			for b.Loop() {
				keyspace := &standin.Keyspace{ReadsPerSecond: standin.DefaultReadsPerSecond, WritesPerSecond: standin.DefaultWritesPerSecond}
				var guards []*deposit.Guard
				for i := range holders {
					guards = append(guards, &deposit.Guard{Store: startStore(c, keyspace), Holder: uint64(i + 1), WritesPerSecond: tc.budget})
				}
				var ran, unrecorded atomic.Int64
				var wg sync.WaitGroup
				tick := time.NewTicker(time.Second / time.Duration(tc.offered))
				start := time.Now()
				for n := range tc.offered * seconds {
					<-tick.C
					wg.Go(func() {
						g := guards[n%holders]
						d, _ := g.Begin(context.Background(), "bookings", fmt.Sprint(n), 7)
						granted, ok := d.(deposit.Granted)
						if !ok {
							return
						}
						ran.Add(1)
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						defer cancel()
						if g.Finish(ctx, granted.Claim, deposit.Record{Status: 201}) != nil {
							unrecorded.Add(1)
						}
					})
				}
				took := time.Since(start).Seconds()
				tick.Stop()
				wg.Wait()
				b.ReportMetric(float64(ran.Load())/took, "run/s")
				b.ReportMetric(float64(unrecorded.Load()), "unrecorded")
				b.ReportMetric(float64(keyspace.Calls().Writes)/took, "writes/s")
				b.ReportMetric(float64(keyspace.Calls().Refused)/took, "refused-calls/s")
				for _, g := range guards {
					c.Check(g.Close(), qt.IsNil)
				}
			}
		})
	}
}
