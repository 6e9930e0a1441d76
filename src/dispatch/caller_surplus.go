package dispatch

import (
	"slices"
	"time"
)

// Connections beyond the bound are made room for by closing idle ones. Where all are in use, a few more are
// accepted, and their requests refused as not run; what comes then waits in the listener.

// Shares of the bound, one in so many.
const (
	surplusDivisor = 2  // connections beyond it, most of which are refused or end
	closedDivisor  = 16 // idle connections that are closed at a time
)

func (l *callerListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// awaitSurplus waits until another connection may be accepted.
func (l *callerListener) awaitSurplus() {
	for n := l.maxConns(); l.openCount() > n+n/surplusDivisor+1; n = l.maxConns() {
		l.makeRoom()
		time.Sleep(pollInterval)
	}
}

// makeRoom closes the connections that have been idle for longest if there are too many, and reports whether there is
// room, not counting those that end.
func (l *callerListener) makeRoom() bool {
	n, open := l.maxConns(), 0
	if l.openCount() <= n {
		return true
	}
	var idle []*callerConn
	since := map[*callerConn]time.Time{}
	for _, c := range l.openConns() {
		at, isIdle, isEnding := c.idleTime()
		if !isEnding {
			open++
		}
		if isIdle {
			idle, since[c] = append(idle, c), at
		}
	}
	if open <= n {
		return true
	}
	slices.SortFunc(idle, func(a, b *callerConn) int { return since[a].Compare(since[b]) })
	closed := min(open-n+n/closedDivisor, len(idle))
	for _, c := range idle[:closed] {
		c.noteClose(closeLimit)
		c.stop(time.Now())
	}
	return open-closed <= n
}

// idleTime returns since when the connection has had no request. It is idle if none can be on its way any more, and
// ending if it has been stopped while it was idle, or all its answers are written.
func (c *callerConn) idleTime() (since time.Time, isIdle, isEnding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unused := !c.busy && len(c.pending) == 0
	return c.idleSince, unused && !c.stopping && time.Since(c.idleSince) > idleGrace, c.halfClosed || unused && c.stopping
}
