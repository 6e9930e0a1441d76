package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	baselineDecay   = 0.7  // factor per period on what the old servers have shown, once there is enough of it
	minShareSamples = 30   // answers from which on the recent share of failures is used
	maxDeviations   = 3    // standard deviations by which a share may exceed the recent one by chance
	minDurations    = 50   // durations from which on slowness is judged
	slowQuantile    = 0.98 // of the old servers' durations; see slowLimit
	slowFactor      = 3    // multiple of the old servers' median below which no answer counts as slow
)

// baseline is what the old servers have shown on one route, lately and in each of the last two
// periods.
type baseline struct {
	recent tallySums
	last   [2]tallySums // the last period first

	periodStart time.Time
	testedAt    time.Time // when the new servers' answers were last judged
	hasJumped   bool      // the share of failures in the last period exceeds the one before it by more than chance
	isHeld      bool      // the new servers' answers of the last period are judged with the next one
}

// answers returns the weighted number of answers known.
func (b *baseline) answers() float64 { return b.recent.answers[0] + b.recent.answers[1] }

// tallySums are the weighted counts of a routeTally with cut calls left out.
type tallySums struct {
	answers   [2]float64
	failures  [2]float64
	durations [2][durationClasses]float64
}

func (s *tallySums) add(t *routeTally) {
	for class := range 2 {
		s.answers[class] += float64(t.answers[class])
		s.failures[class] += float64(t.failures[class])
		for k := range durationClasses {
			s.durations[class][k] += float64(t.durations[class][k])
		}
	}
}

func (s *tallySums) scale(f float64) {
	for class := range 2 {
		s.answers[class] *= f
		s.failures[class] *= f
		for k := range durationClasses {
			s.durations[class][k] *= f
		}
	}
}

// endPeriod takes in the counts of a period. What is known decays only while there is more, so that
// it stays once no old server answers any more.
func (b *baseline) endPeriod(t *routeTally) {
	var sums tallySums
	sums.add(t)
	b.last[1], b.last[0] = b.last[0], sums
	n, bad := sums.answers[0]+sums.answers[1], sums.failures[0]+sums.failures[1]
	known, knownBad := b.answers(), b.recent.failures[0]+b.recent.failures[1]
	b.hasJumped = known >= minShareSamples && n > 0 && isAboveChance(bad/n, n, knownBad/known)
	if total := sums.answers[0] + sums.answers[1]; total > 0 && b.answers() > 10*minDurations {
		b.recent.scale(baselineDecay)
	}
	b.recent.add(t)
}

// failureShare returns the old servers' share of failures. highOnly is for answers at high load: if
// there are enough of them, it returns their share unless that of all answers is higher, since a
// disturbance shows later in fewer answers.
func (b *baseline) failureShare(highOnly bool) float64 {
	all := b.share(minShareSamples, func(s *tallySums) (n, bad float64) {
		return s.answers[0] + s.answers[1], s.failures[0] + s.failures[1]
	})
	if !highOnly {
		return all
	}
	return max(all, b.share(minShareSamples, func(s *tallySums) (n, bad float64) { return s.answers[1], s.failures[1] }))
}

// share returns the recent share of bad answers, or that of one of the last periods if it is higher by
// more than chance: a disturbance that hits all versions may reach the new servers' reports first.
// It is higher by a standard error, since it is an estimate too.
func (b *baseline) share(minSamples float64, count func(*tallySums) (n, bad float64)) float64 {
	n, bad := count(&b.recent)
	if n < minSamples {
		return 0
	}
	recent := bad / n
	highest := aboveEstimate(recent, n)
	for i := range b.last {
		n, bad := count(&b.last[i])
		if n == 0 {
			continue
		}
		if isAboveChance(bad/n, n, recent) {
			highest = max(highest, aboveEstimate(bad/n, n))
		}
	}
	return highest
}

// aboveEstimate returns a share of n answers and its standard error.
func aboveEstimate(share, n float64) float64 {
	return share + math.Sqrt(share*(1-share)/n)
}

// isAboveChance reports whether a share of n answers exceeds the usual share by more than chance.
func isAboveChance(share, n, usual float64) bool {
	return share > usual+maxDeviations*math.Sqrt(max(usual, 1/n)/n)
}

// slowLimit returns the duration class up to which an answer is not slow: the slowQuantile of the
// old servers' durations at that load, or slowFactor times their median if that is longer; ok is
// false if too little is known.
//
// The quantile is over all old servers together, so a server that is merely among the slower ones
// has few slow answers: if a share of the servers had more than x of their answers above the
// quantile, the share would be at most (1-slowQuantile)/x. The factor covers routes whose durations
// vary little.
func (b *baseline) slowLimit(class int) (limit int, ok bool) {
	durations := b.recent.durations[class]
	if sum(durations[:]) < minDurations {
		for k := range durations {
			durations[k] += b.recent.durations[1-class][k]
		}
	}
	total := sum(durations[:])
	if total < minDurations {
		return 0, false
	}
	return max(quantile(durations[:], slowQuantile*total), quantile(durations[:], total/2)+durationClassRatio(slowFactor)), true
}

// slowShare returns the old servers' share of slow answers.
func (b *baseline) slowShare(limits [2]int) float64 {
	return b.share(minDurations, func(s *tallySums) (n, bad float64) {
		for class := range 2 {
			n += sum(s.durations[class][:])
			bad += sum(s.durations[class][min(limits[class]+1, durationClasses):])
		}
		return n, bad
	})
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

// quantile returns the first class up to which at least n are counted.
func quantile(counts []float64, n float64) int {
	return max(0, slices.IndexFunc(counts, func(count float64) bool {
		n -= count
		return n <= 0
	}))
}
