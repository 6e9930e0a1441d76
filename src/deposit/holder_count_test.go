package deposit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCoreHolderCount checks that the write rate is divided among holders while the burst of one holder stays the same.
func TestCoreHolderCount(t *testing.T) {
	tests := map[string]struct {
		holders      int
		wantAdmitted int // payments admitted at one moment, while no store call is answered
	}{
		"alone":                  {holders: 1, wantAdmitted: 10},
		"small fleet":            {holders: 12, wantAdmitted: 10},
		"800 holders":            {holders: 800, wantAdmitted: 10}, // the size designed for
		"count not set":          {holders: 0, wantAdmitted: 10},
		"below the minimum rate": {holders: 1 << 20, wantAdmitted: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core := &Core{Holder: 1, Expiry: time.Hour, Timeout: time.Second, WritesPerSecond: 20, Rand: rand.New(rand.NewPCG(1, 0))}
			now := time.Unix(1000, 0)
			core.Step(now, Shared{Holders: tc.holders})
			admitted := 0
			for i := range uint64(100) {
				for _, a := range core.Step(now, Arrived{Call: i, Service: "s", Key: string(rune('a' + i))}) {
					if _, ok := a.(ReadSlot); ok {
						admitted++
					}
				}
			}
			c.Check(admitted, qt.Equals, tc.wantAdmitted)
			core.writeLimiter.ReserveN(now, 20) // the writes of the admitted payments
			perSecond := core.writeLimiter.TokensAt(now.Add(time.Second)) - core.writeLimiter.TokensAt(now)
			want := min(20, max(1, 240/float64(max(tc.holders, 1))))
			c.Check(perSecond, qt.Equals, want)
		})
	}
}
