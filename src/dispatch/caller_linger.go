package dispatch

import (
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lingerTime         = 2 * time.Second       // for the caller to end its side once it has received everything, except during a stop
	lingerSize         = 4 << 20               // bytes that are discarded at most
	lingerBodySize     = 64 << 20              // the same with the rest of a request body
	lingerPollInterval = 50 * time.Millisecond // time between checks of what the caller has acknowledged
)

// linger ends our side of the connection and discards what still arrives until the caller ends its
// side: closing at once would reset the connection when further bytes arrive, and the caller would
// lose what it has not received yet. It returns earlier once everything is acknowledged and the
// caller has had time to read it, or if nothing is acknowledged for stallTimeout.
func (c *callerConn) linger() {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok || !c.halfClose(tc) {
		return
	}
	buf := make([]byte, discardReadSize)
	left, since := -1, time.Now() // bytes not acknowledged, and since when there are so many
	for size := c.lingerSize(); ; {
		if size > 0 {
			_ = tc.SetReadDeadline(time.Now().Add(lingerPollInterval))
			n, err := tc.Read(buf)
			if err != nil && !os.IsTimeout(err) {
				return
			}
			size -= n
		} else {
			time.Sleep(lingerPollInterval)
		}
		if l := unacknowledged(tc); l != left {
			left, since = l, time.Now()
		}
		if size <= 0 && left <= 0 || time.Since(since) >= c.lingerTimeout(left) {
			return
		}
	}
}

// lingerSize returns the number of bytes to discard. Of what follows another request than one with an
// unread body, there may be no end.
func (c *callerConn) lingerSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyUnread {
		return lingerBodySize
	}
	return lingerSize
}

// halfClose ends our side of the connection. It reports false if the caller has ended its own side,
// so that nothing more can arrive.
func (c *callerConn) halfClose(tc *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfClosed = true
	return !c.callerEnded && tc.CloseWrite() == nil
}

func (c *callerConn) isHalfClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.halfClosed
}

// lingerTimeout returns how long the connection may linger while the number of bytes that are not acknowledged stays the same.
func (c *callerConn) lingerTimeout(left int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case left > 0 && !c.stopping:
		return c.stallTimeout
	case left == 0 && c.stopping:
		return idleGrace
	}
	return lingerTime // during a stop also for a caller that acknowledges nothing, which may be gone
}

// unacknowledged returns the number of bytes that the caller's system has not acknowledged, the end of our side included; -1 if it is unknown.
func unacknowledged(tc *net.TCPConn) int {
	raw, err := tc.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	_ = raw.Control(func(fd uintptr) {
		if v, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = v
		}
	})
	return n
}
