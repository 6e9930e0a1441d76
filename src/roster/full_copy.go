package roster

import (
	"sync"
	"time"
)

// copyLimit bounds the full copies that a member serves when a herd joins.
type copyLimit struct {
	mu    sync.Mutex
	since time.Time
	n     int
}

func (l *copyLimit) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since = now
		l.n = 0
	}
	l.n++
	return l.n <= copiesPerSecond
}
