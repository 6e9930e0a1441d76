package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const maxMeasured = 2 * time.Minute // longest time that a histogram holds

// routeTally adds up what callers have seen.
type routeTally struct {
	mu                         sync.Mutex
	calls, ok, refused, failed int
	crossed, truncated         int
	total, added, direct       *hdrhistogram.Histogram // microseconds
	notRun                     []string                // tokens of calls that were refused as not run
	once                       []string                // tokens of calls that must run at most once
	reasons                    map[string]int          // of refusals and failures
	attempts                   uint64
}

func newRouteTally() *routeTally {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxMeasured.Microseconds(), 3)
	}
	return &routeTally{total: h(), added: h(), direct: h(), reasons: map[string]int{}}
}

// note adds one call's result.
func (t *routeTally) note(r callResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	switch r.kind {
	case resultOK:
		t.ok++
		t.measure(r)
	case resultNotRun:
		t.refused++
		t.notRun = append(t.notRun, r.token)
	case resultCrossed:
		t.crossed++
	case resultTruncated:
		t.truncated++
	case resultFailed:
		t.failed++
	}
	if r.reason != "" {
		t.reasons[r.reason]++
	}
	if r.once {
		t.once = append(t.once, r.token)
	}
}

func (t *routeTally) measure(r callResult) {
	_ = t.total.RecordValue(max(1, r.took.Microseconds()))
	if r.plain {
		_ = t.added.RecordValue(max(1, (r.took - r.handler).Microseconds()))
	}
}

func (t *routeTally) noteDirect(r callResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.kind == resultOK {
		_ = t.direct.RecordValue(max(1, (r.took - r.handler).Microseconds()))
	}
}

func quantile(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
