package kv

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Clock is a Store that tells how far its own clock is ahead of this process's wall clock.
type Clock interface {
	// Skew returns the difference by the latest answer, good to a few seconds, 0 before the first.
	Skew() time.Duration
}

// skew keeps the difference between two clocks.
type skew struct{ d atomic.Int64 }

// observe takes in the Date field of an answer that has just arrived.
func (s *skew) observe(date []byte, now time.Time) {
	t, err := fasthttp.ParseHTTPDate(date)
	if err != nil {
		return
	}
	s.d.Store(int64(t.Sub(now.Round(0))))
}

// Skew implements Clock.
func (r *Remote) Skew() time.Duration { return time.Duration(r.skew.d.Load()) }

// Skew implements Clock.
func (c *Counted) Skew() time.Duration {
	if s, ok := c.Store.(Clock); ok {
		return s.Skew()
	}
	return 0
}
