package dispatch

import (
	"net"
	"syscall"
	"time"
)

// Callers may send further requests before the first is answered. The HTTP server is given one
// header at a time, and the bytes behind it wait in callerConn.pending: the server sends an answer
// only once it has nothing left to read, so that otherwise an answer would wait for the slow request
// behind it, and only so is it known during a shutdown which requests have been read.

// keepBehindHeader keeps what follows the end of the present header for the next reads, and returns
// the number of bytes up to there. c.mu must be held, and c.pending be empty.
func (c *callerConn) keepBehindHeader(b []byte) int {
	n := c.header.scan(b)
	if n < len(b) {
		c.hold(b[n:])
	}
	return n
}

// hasPending reports whether bytes behind the present request have been read.
func (c *callerConn) hasPending() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// setMayPipeline records whether further requests may follow a request: it was well-formed and has no body.
func (c *callerConn) setMayPipeline(ok bool) {
	if c != nil {
		c.mayPipeline.Store(ok)
	}
}

// hasUnread reports whether further requests of the caller have arrived that have not been read.
// Closing the connection would reset it then, and the caller might lose the answer. It is false
// unless the last request was well-formed and had no body: what follows another one may have no
// end.
func (c *callerConn) hasUnread(tc *net.TCPConn) bool {
	if !c.mayPipeline.Load() {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil || tc.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n > 0
}
