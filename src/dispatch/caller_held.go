package dispatch

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Further requests that arrive while a call runs are held for the next reads, within bounds. Beyond
// them they are discarded and the connection is closed after the answer, so that the caller sends
// them again.

const (
	maxHeld      = 64 << 10 // bytes of further requests that a connection holds
	maxHeldTotal = 8 << 20  // the same for all connections together
)

// holdWithinBounds keeps bytes of further requests, or discards all of them if they are too many.
func (c *callerConn) holdWithinBounds(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overflowed {
		return
	}
	c.hold(b)
	if len(c.pending) > maxHeld || c.heldBytes.Load() > maxHeldTotal {
		c.discardPending()
	}
}

// hold keeps bytes for the next reads, unless the connection has been closed; the caller must hold c.mu.
func (c *callerConn) hold(b []byte) {
	if c.ended { // while a background read was under way
		return
	}
	c.pending = append(c.pending, b...)
	c.heldBytes.Add(int64(len(b)))
}

// release forgets the first n of the bytes that are held; the caller must hold c.mu.
func (c *callerConn) release(n int) {
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	c.heldBytes.Add(-int64(n))
	c.answerable -= n
}

// discardPending discards all further requests, those that are still to come included; the caller
// must hold c.mu.
func (c *callerConn) discardPending() {
	c.release(len(c.pending))
	c.overflowed, c.bodyUnread, c.pendingErr = true, true, io.EOF
	c.noteClose(closeOverflow)
}

// dropPending forgets the bytes that are held, and those to come, when the connection ends.
func (c *callerConn) dropPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(len(c.pending))
	c.releaseReserved()
	c.ended = true
}

// hasOverflowed reports whether further requests have been discarded, so that the connection must
// be closed after the answer.
func (c *callerConn) hasOverflowed() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflowed
}

// readPending returns the bytes that are held, or the error after which nothing more is read. What a
// caller has sent before it left is not returned: nobody waits for the answer.
func (c *callerConn) readPending(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 && c.pendingErr == nil && !c.busy { // a further request begins
		c.readArrived()
	}
	if c.pendingErr != nil || len(c.pending) == 0 {
		c.notePendingError()
		return 0, c.pendingErr
	}
	n := c.header.scan(b[:copy(b, c.pending)])
	c.release(n)
	c.beginRequest()
	return n, nil
}

// hasLateArrivals reads what has arrived on an idle connection whose read deadline has passed, or once
// where that of a header has, and reports whether there was anything. The deadline says only when this process got to run: a request
// may have arrived long before.
func (c *callerConn) hasLateArrivals() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	readsHeader := c.busy && !c.headerDeadline.IsZero()
	if c.pendingErr != nil || c.busy && (!readsHeader || c.lateHeader) {
		return false
	}
	c.lateHeader = readsHeader
	c.readArrived()
	return len(c.pending) > 0 || c.pendingErr != nil
}

// notePendingError records why no further request is read; c.mu must be held.
func (c *callerConn) notePendingError() {
	if c.pendingErr != nil && c.callerEnded {
		c.noteClose(closeCaller)
	}
}

// readArrived reads what has arrived, without waiting, up to the bounds, and notes the end of the
// connection behind it; the caller must hold c.mu.
func (c *callerConn) readArrived() {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil || tc.SetReadDeadline(time.Time{}) != nil {
		return
	}
	var buf [backgroundReadSize]byte
	for len(c.pending) < maxHeld && c.heldBytes.Load() < maxHeldTotal {
		n := 0
		readErr := raw.Read(func(fd uintptr) bool {
			n, err = unix.Read(int(fd), buf[:])
			return true
		})
		switch {
		case readErr != nil:
			c.pendingErr, c.callerEnded = readErr, true
			return
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil:
			c.pendingErr, c.callerEnded = os.NewSyscallError("read", err), true
			return
		case n == 0:
			c.pendingErr, c.callerEnded = io.EOF, true
			return
		default:
			c.hold(buf[:n])
		}
	}
}
