package deposit

import (
	"math/rand/v2"
	"time"
)

const (
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// breaker is a circuit breaker: it refuses new claims for a while after a store failure, which leaves the store's request rate to the outcomes of payments in progress.
type breaker struct {
	pause     time.Duration
	openUntil time.Time
}

// recordFailure opens the breaker, for a longer pause if no call has succeeded since the last one. While it is open, further failures are ignored.
func (b *breaker) recordFailure(now time.Time, r *rand.Rand) {
	if now.Before(b.openUntil) {
		return
	}
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.openUntil = now.Add(b.pause/2 + time.Duration(r.Int64N(int64(b.pause/2))))
}

// recordSuccess closes the breaker.
func (b *breaker) recordSuccess() { *b = breaker{} }

// remaining returns how long the breaker stays open, 0 if it is closed.
func (b *breaker) remaining(now time.Time) time.Duration { return max(b.openUntil.Sub(now), 0) }
