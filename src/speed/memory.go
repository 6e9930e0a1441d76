package speed

import (
	"math"
	"math/bits"
	"time"
)

const (
	minFactor   = 1 / usual             // of a report
	shortestAge = 25 * time.Millisecond // upper end of the first range of ages
	ageRanges   = 9                     // each twice as long as the one before; the last one has no end
	memoryDecay = 1 - 1.0/256           // per report, of what was learned before
	priorWeight = 1.0                   // of the assumption below, in squared deviations from the mean
	priorPeriod = float64(time.Second)  // a report is assumed to lose its weight by e in this time
)

// Memory learns how much a report of a given age says of the present speed. The zero value assumes
// a decay over priorPeriod. It is not safe for concurrent use.
//
// For each range of ages it keeps the regression of a report on the one before, both as deviations
// from the machine's mean: 1 where machines keep their speed for longer, 0 where it has changed at
// random since.
type Memory struct {
	squares  [ageRanges]float64
	products [ageRanges]float64
}

// learn records two reports of one machine, as deviations from its mean, and the range of the time
// between them.
func (m *Memory) learn(r int, before, after float64) {
	if m == nil {
		return
	}
	m.squares[r] = m.squares[r]*memoryDecay + before*before
	m.products[r] = m.products[r]*memoryDecay + before*after
}

// weight returns the weight of a report of the given age, between 0 and 1.
func (m *Memory) weight(age time.Duration) float64 {
	prior := math.Exp(-float64(max(0, age)) / priorPeriod)
	if m == nil {
		return prior
	}
	r := ageRange(age)
	w := (m.products[r] + priorWeight*prior) / (m.squares[r] + priorWeight)
	return min(1, max(0, w))
}

// ageRange returns the range of an age.
func ageRange(age time.Duration) int {
	return min(ageRanges-1, bits.Len64(uint64(max(0, age)/shortestAge)))
}

// shortestOf returns the shortest age of a range.
func shortestOf(r int) time.Duration {
	if r == 0 {
		return 0
	}
	return shortestAge << (r - 1)
}
