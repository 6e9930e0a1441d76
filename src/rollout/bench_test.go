package rollout

import (
	"testing"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Both are on the path of each call to a service under an order.

func BenchmarkLimiterNext(b *testing.B) {
	now := time.Unix(1000, 0)
	r := Routing{Order: 5, TargetVersion: "2", Stage: StageCanary, Started: now, Duration: 14 * time.Second}
	l := &Limiter{ExposureShare: 0.1}
	b.ReportAllocs()
	for b.Loop() {
		l.Next(now, "route", r)
	}
}

func BenchmarkTallyAdd(b *testing.B) {
	now := time.Unix(1000, 0)
	tally := &Tally{}
	b.ReportAllocs()
	for b.Loop() {
		tally.Add(now, Sample{Route: "route", Duration: 140 * time.Millisecond, Load: 0.5})
	}
}

// BenchmarkReport also gives the size of a report of four routes with answers of many durations.
func BenchmarkReport(b *testing.B) {
	now := time.Unix(1000, 0)
	tally := &Tally{}
	for i := range 4000 {
		tally.Add(now, Sample{Route: string(rune('a' + i%4)), Duration: time.Duration(i) * time.Millisecond, Load: float64(i%3) / 2})
	}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		r := wire.RolloutReport{Order: 1 << 60, Service: "check-in", Member: 1 << 60, Version: "2", Routes: tally.Routes()}
		encoded, _ := r.MarshalMsg(nil)
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes/report")
}
