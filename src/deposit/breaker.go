package deposit

import (
	"math/rand/v2"
	"time"
)

const (
	initialOpenTime = 50 * time.Millisecond // before jitter, which takes off up to half
	maxOpenTime     = 2 * time.Second
)

// breaker is a circuit breaker: after a store failure it refuses new claims for a while, so that the store's capacity goes to recording the outcomes of requests already granted.
type breaker struct {
	openTime  time.Duration // before jitter; doubles with each failure, 0 after a success
	openUntil time.Time
}

// recordFailure opens the breaker, for a longer time if no call has succeeded since it was last open. While it is open, further failures are ignored.
func (b *breaker) recordFailure(now time.Time, r *rand.Rand) {
	if now.Before(b.openUntil) {
		return
	}
	b.openTime = min(max(2*b.openTime, initialOpenTime), maxOpenTime)
	b.openUntil = now.Add(b.openTime/2 + time.Duration(r.Int64N(int64(b.openTime/2))))
}

// recordSuccess closes the breaker.
func (b *breaker) recordSuccess() { *b = breaker{} }

// remaining returns how long the breaker stays open, 0 if it is closed.
func (b *breaker) remaining(now time.Time) time.Duration { return max(b.openUntil.Sub(now), 0) }
