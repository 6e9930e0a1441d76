package rollout

import (
	"math"
	"time"
)

// durationClasses is the number of duration classes; the last one begins at about 45 s.
const durationClasses = 32

// durationClass returns the class of a duration: class k holds the durations around 2^(k/2) ms, so
// that each class is about 1.4 times as long as the one before.
func durationClass(d time.Duration) int {
	ms := d.Seconds() * 1000
	if ms <= 1 {
		return 0
	}
	return min(durationClasses-1, int(math.Round(2*math.Log2(ms))))
}

// durationClassRatio is the difference of classes from which on durations differ by a factor.
func durationClassRatio(factor float64) int { return int(math.Ceil(2 * math.Log2(factor))) }
