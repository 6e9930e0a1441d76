package deposit

import (
	"math/rand/v2"
	"time"
)

const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// breaker refuses new claims for a while after the store has failed, which keeps its rate for the outcomes of payments under way.
type breaker struct {
	pause time.Duration
	until time.Time
}

// failed begins a pause, or a longer one when the last has led to nothing.
func (b *breaker) failed(now time.Time, r *rand.Rand) {
	if now.Before(b.until) {
		return
	}
	b.pause = min(max(2*b.pause, firstPause), maxPause)
	b.until = now.Add(b.pause/2 + time.Duration(r.Int64N(int64(b.pause/2))))
}

// worked ends the pause.
func (b *breaker) worked() { *b = breaker{} }

// wait returns what is left of the pause.
func (b *breaker) wait(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }
