package deposit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

// BenchmarkPayment serves payments with a store over HTTP. In its 65536 slots, 13 or 130 records each are those of a day at about 10 or 100 payments per second.
func BenchmarkPayment(b *testing.B) {
	for _, recordsPerSlot := range []int{0, 13, 130} {
		b.Run(fmt.Sprintf("records=%d", recordsPerSlot), func(b *testing.B) {
			c := qt.New(b)
			keyspace := &standin.Keyspace{}
			store := &kv.Counted{Store: startStore(c, keyspace)}
			g := &deposit.Guard{Store: store, Holder: 1, WritesPerSecond: -1}
			slot := wire.ClaimSlot{}
			for i := range recordsPerSlot {
				slot.Claims = append(slot.Claims, wire.Claim{
					ID: wire.ClaimID{Holder: 1, Sequence: uint64(i)}, Digest: make([]byte, 16), At: time.Now().UnixMilli(),
					State: wire.ClaimEnded, Status: 201, Body: make([]byte, 200),
					Fields: []wire.Field{{Name: "Content-Type", Value: "application/json"}, {Name: "X-Request-Token", Value: "0123456789abcdef"}},
				})
			}
			value, err := slot.MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			ctx := context.Background()
			for i := range 1 << 16 {
				if recordsPerSlot == 0 {
					break
				}
				_, err := keyspace.Swap(ctx, fmt.Sprintf("deposit/%04x", i), 0, value)
				c.Assert(err, qt.IsNil)
			}
			reads, writes := store.Reads(), store.Writes()
			for n := 0; b.Loop(); n++ {
				if !servePayment(ctx, g, fmt.Sprint(n)) {
					b.Fatal("payment did not run")
				}
			}
			b.ReportMetric(float64(store.Reads()-reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(store.Writes()-writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(len(value)), "slot-bytes")
			c.Check(g.Close(), qt.IsNil)
		})
	}
}
