package roster

import (
	"sync"
	"time"
)

// fullCopyLimiter limits the pages of full copies served per second, for when many members join at once.
type fullCopyLimiter struct {
	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// allow counts one page and reports whether it may be served at now.
func (l *fullCopyLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.count = 0
	}
	l.count++
	return l.count <= maxFullPagesPerSecond
}
