package rollout

import (
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// routeTally counts the runs of a backend server on one route. Indexes of two are load classes.
type routeTally struct {
	answers   [2]uint32
	failures  [2]uint32
	durations [2][durationClasses]uint32 // of the answers of a warm server
	cut       [durationClasses]uint32
}

// encode returns the counts for a report.
func (t *routeTally) encode(route string) wire.RolloutRoute {
	all := [][]uint32{t.durations[0][:], t.durations[1][:], t.cut[:]}
	first := durationClasses
	for _, counts := range all {
		if i := slices.IndexFunc(counts, isPositive); i >= 0 {
			first = min(first, i)
		}
	}
	trimmed := make([][]uint32, len(all))
	for i, counts := range all {
		end := durationClasses
		for end > first && counts[end-1] == 0 {
			end--
		}
		trimmed[i] = slices.Clone(counts[min(first, end):end])
	}
	return wire.RolloutRoute{
		Route: route, Answers: slices.Clone(t.answers[:]), Failures: slices.Clone(t.failures[:]),
		First: uint8(first), Low: trimmed[0], High: trimmed[1], Cut: trimmed[2],
	}
}

func isPositive(n uint32) bool { return n > 0 }

// decodeRouteTally returns the counts of a report; what does not fit is ignored.
func decodeRouteTally(r wire.RolloutRoute) routeTally {
	var t routeTally
	copy(t.answers[:], r.Answers)
	copy(t.failures[:], r.Failures)
	if int(r.First) < durationClasses {
		copy(t.durations[0][r.First:], r.Low)
		copy(t.durations[1][r.First:], r.High)
		copy(t.cut[r.First:], r.Cut)
	}
	return t
}

// minus returns what has been counted since an earlier state; ok is false if a count has gone back.
func (t routeTally) minus(earlier routeTally) (delta routeTally, ok bool) {
	ok = true
	sub := func(a, b uint32) uint32 {
		ok = ok && a >= b
		return a - b
	}
	for class := range 2 {
		delta.answers[class] = sub(t.answers[class], earlier.answers[class])
		delta.failures[class] = sub(t.failures[class], earlier.failures[class])
		for k := range durationClasses {
			delta.durations[class][k] = sub(t.durations[class][k], earlier.durations[class][k])
		}
	}
	for k := range durationClasses {
		delta.cut[k] = sub(t.cut[k], earlier.cut[k])
	}
	return delta, ok
}

// add adds the counts of other.
func (t *routeTally) add(other *routeTally) {
	for class := range 2 {
		t.answers[class] += other.answers[class]
		t.failures[class] += other.failures[class]
		for k := range durationClasses {
			t.durations[class][k] += other.durations[class][k]
		}
	}
	for k := range durationClasses {
		t.cut[k] += other.cut[k]
	}
}
