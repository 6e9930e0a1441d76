package deposit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHoldersShareTheWritesOfTheStore(t *testing.T) {
	tests := map[string]struct {
		holders int
		most    int // payments begun at one moment, none answered
	}{
		"alone":          {holders: 1, most: 10},
		"small fleet":    {holders: 12, most: 10},
		"design size":    {holders: 800, most: 10},
		"never told":     {holders: 0, most: 10},
		"none left over": {holders: 1 << 20, most: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core := &Core{Holder: 1, Expiry: time.Hour, Timeout: time.Second, WritesPerSecond: 20, Rand: rand.New(rand.NewPCG(1, 0))}
			now := time.Unix(1000, 0)
			core.Step(now, Shared{Holders: tc.holders})
			begun := 0
			for i := range uint64(100) {
				for _, a := range core.Step(now, Arrived{Call: i, Service: "s", Key: string(rune('a' + i))}) {
					if _, ok := a.(ReadSlot); ok {
						begun++
					}
				}
			}
			c.Check(begun, qt.Equals, tc.most)
			core.budget.ReserveN(now, 20) // the payments begun have written
			perSecond := core.budget.TokensAt(now.Add(time.Second)) - core.budget.TokensAt(now)
			want := min(20, max(1, 240/float64(max(tc.holders, 1))))
			c.Check(perSecond, qt.Equals, want)
		})
	}
}
