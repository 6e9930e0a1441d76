package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the outcome of a Load; latencies count from the moment at which a call was due.
type Report struct {
	Calls      int     `json:"calls"`
	OK         int     `json:"ok"` // answered with a status below 400
	NotRun     int     `json:"refused_not_run"`
	MayHaveRun int     `json:"may_have_run"`
	Failed     int     `json:"failed"` // any other answer, and no answer
	P50MS      float64 `json:"p50_ms"`
	P99MS      float64 `json:"p99_ms"`
	MaxMS      float64 `json:"max_ms"`
}

const (
	maxLatency = 5 * time.Minute
	digits     = 3 // significant ones of a latency
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// measure fills in the latencies.
func (r *Report) measure(h *hdrhistogram.Histogram) {
	const perMS = 1000 // microseconds
	r.P50MS = float64(h.ValueAtQuantile(50)) / perMS
	r.P99MS = float64(h.ValueAtQuantile(99)) / perMS
	r.MaxMS = float64(h.Max()) / perMS
}
