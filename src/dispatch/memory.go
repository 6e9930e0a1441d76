package dispatch

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// memory bounds the bytes that the requests of all callers' connections hold.
type memory struct {
	sem  *semaphore.Weighted
	used atomic.Int64 // bytes
}

func newMemory(size int64) *memory { return &memory{sem: semaphore.NewWeighted(size)} }

func (m *memory) tryAcquire(n int64) bool {
	if !m.sem.TryAcquire(n) {
		return false
	}
	m.used.Add(n)
	return true
}

func (m *memory) release(n int64) {
	m.sem.Release(n)
	m.used.Add(-n)
}

// reserve takes memory for the present request, until its answer is written or the connection ends, and reports
// whether there was room. There is none for a request that has been answered.
func (c *callerConn) reserve(n int) bool {
	if c == nil || c.memory == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !c.busy || !c.memory.tryAcquire(int64(n)) {
		return false
	}
	c.reserved += int64(n)
	return true
}

// releaseReserved returns what the present request has reserved; the caller must hold c.mu.
func (c *callerConn) releaseReserved() {
	if c.reserved > 0 {
		c.memory.release(c.reserved)
		c.reserved = 0
	}
}
