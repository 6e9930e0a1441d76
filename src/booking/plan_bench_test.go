package booking

import (
	"testing"
	"time"
)

// BenchmarkValueArrival measures an arrival at a server with 6 slots whose queue is full of calls in time.
func BenchmarkValueArrival(b *testing.B) {
	for _, p := range []Policy{PolicyPriority, PolicyValue} {
		b.Run(string(p), func(b *testing.B) {
			c := fixedLimitCore(6, map[string]time.Duration{"short": 50 * time.Millisecond})
			c.Policy = p
			for i := range uint64(b.N) {
				c.Step(epoch, Arrive{Call: i, Route: "short", Timeout: time.Second, Objective: 500 * time.Millisecond, Priority: 1, Final: true})
			}
		})
	}
}
