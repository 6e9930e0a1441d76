package quarantine

import "time"

const (
	durationDivisor  = 8 // an answer moves the mean by 1/8 of the difference
	deviationDivisor = 4 // and the mean deviation by 1/4
	deviations       = 4 // mean deviations beyond the mean within which answers usually come
)

// durations estimates how long requests take to be answered. It knows the maxSuspects contents that
// were answered last, and at most as many more.
type durations struct{ recent, older map[uint64]duration }

// duration is the estimate of one content.
type duration struct{ mean, deviation time.Duration }

// add records how long an answer took.
func (t *durations) add(content uint64, took time.Duration) {
	d, ok := t.get(content)
	if !ok {
		d.mean = took
	}
	diff := took - d.mean
	d.mean += diff / durationDivisor
	d.deviation += (max(diff, -diff) - d.deviation) / deviationDivisor
	if t.recent == nil || len(t.recent) >= maxSuspects {
		t.recent, t.older = map[uint64]duration{}, t.recent
	}
	t.recent[content] = d
}

func (t *durations) get(content uint64) (duration, bool) {
	if d, ok := t.recent[content]; ok {
		return d, true
	}
	d, ok := t.older[content]
	return d, ok
}

// usual returns the time within which a request is usually answered, 0 if it is unknown.
func (t *durations) usual(content uint64) time.Duration {
	d, _ := t.get(content)
	return d.mean + deviations*d.deviation
}
