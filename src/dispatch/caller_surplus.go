package dispatch

import (
	"slices"
	"time"
)

// Connections beyond the bound are made room for by closing idle ones. Where all are in use, a few more are
// accepted, and their requests refused as not run; what comes then waits in the listener.

const (
	surplusDivisor = 16                         // of the bound: connections beyond it, and idle ones that are closed at a time
	roomTimeout    = idleGrace + 5*pollInterval // for idle connections to end
)

func (l *callerListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// awaitSurplus waits until another connection may be accepted.
func (l *callerListener) awaitSurplus() {
	for n := l.maxConns(); l.openCount() > n+n/surplusDivisor; n = l.maxConns() {
		l.closeIdle(1 + n/surplusDivisor)
		time.Sleep(pollInterval)
	}
}

// makeRoom closes idle connections if there are too many, and reports whether there is room.
func (l *callerListener) makeRoom() bool {
	n := l.maxConns()
	for start := time.Now(); l.openCount() > n; time.Sleep(pollInterval) {
		if !l.closeIdle(1+n/surplusDivisor) || time.Since(start) > roomTimeout {
			return false
		}
	}
	return true
}

// closeIdle ends up to n of the idle connections, the longest idle first, and reports whether some have not ended yet.
func (l *callerListener) closeIdle(n int) bool {
	var idle []*callerConn
	since := map[*callerConn]time.Time{}
	for _, c := range l.openConns() {
		if at, ok := c.idleTime(); ok {
			idle, since[c] = append(idle, c), at
		}
	}
	slices.SortFunc(idle, func(a, b *callerConn) int { return since[a].Compare(since[b]) })
	for _, c := range idle[:min(n, len(idle))] {
		c.stop(time.Now())
	}
	return len(idle) > 0
}

// idleTime returns since when the connection has had no request, and false if it has one or one may be on its way.
func (c *callerConn) idleTime() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.busy && len(c.pending) == 0 && time.Since(c.idleSince) > idleGrace
}
