package dispatch

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// While a call runs, its caller's connection is read on, whatever arrives, since only a read shows
// that the caller has left. Further requests are held for the next reads, within bounds; beyond them
// they are discarded and the connection is closed after the answer, so that the caller sends them again.

const (
	backgroundReadSize = 512      // bytes of further requests in a first read
	discardReadSize    = 4 << 10  // bytes in a read once further requests are discarded
	maxHeld            = 64 << 10 // bytes of further requests that a connection holds
	maxHeldTotal       = 8 << 20  // the same for all connections together
)

// startBackgroundRead reads from the connection and calls onDisconnect once that fails, as when the
// caller disconnects.
//
// abortBackgroundRead must be called before the next Read.
func (c *callerConn) startBackgroundRead(onDisconnect func()) {
	done := make(chan struct{})
	c.mu.Lock()
	c.backgroundReadDone, c.aborting = done, false
	_ = c.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	go func() {
		defer close(done)
		buf := make([]byte, backgroundReadSize)
		for {
			n, err := c.Conn.Read(buf)
			goesOn, left := c.storePending(buf[:n], err)
			if left {
				onDisconnect()
			}
			if !goesOn {
				return
			}
			if c.hasOverflowed() && len(buf) < discardReadSize {
				buf = make([]byte, discardReadSize)
			}
		}
	}()
}

// storePending stores the result of a background read and reports whether another read is to follow,
// and whether the caller has left.
func (c *callerConn) storePending(b []byte, err error) (goesOn, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.overflowed {
		c.hold(b)
		if len(c.pending) > maxHeld || c.heldBytes.Load() > maxHeldTotal {
			c.discardPending()
		}
	}
	switch {
	case err == nil:
		return true, false
	case c.aborting && os.IsTimeout(err):
		return false, false
	}
	c.pendingErr = err
	return false, true
}

// hold keeps bytes for the next reads, unless there are none; the caller must hold c.mu.
func (c *callerConn) hold(b []byte) {
	if c.ended {
		return // a background read was under way
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
}

// discardPending discards all further requests, those that are still to come included; the caller
// must hold c.mu.
func (c *callerConn) discardPending() {
	c.release(len(c.pending))
	c.overflowed, c.bodyUnread, c.pendingErr = true, true, io.EOF
}

// dropPending forgets the bytes that are held, and those to come, when the connection ends.
func (c *callerConn) dropPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(len(c.pending))
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
		return 0, c.pendingErr
	}
	n := c.header.scan(b[:copy(b, c.pending)])
	c.release(n)
	c.busy = true
	return n, nil
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
			c.pendingErr = readErr
			return
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil:
			c.pendingErr = os.NewSyscallError("read", err)
			return
		case n == 0:
			c.pendingErr = io.EOF
			return
		default:
			c.hold(buf[:n])
		}
	}
}

// hasLeftUnread reports whether the caller has closed its side of the connection, also if bytes that
// it sent before have not been read.
func (c *callerConn) hasLeftUnread() bool {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	_ = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left
}

// abortBackgroundRead ends the background read, if there is one, and waits until it has returned.
func (c *callerConn) abortBackgroundRead() {
	c.mu.Lock()
	done := c.backgroundReadDone
	c.backgroundReadDone, c.aborting = nil, true
	if done != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if done != nil {
		<-done
	}
}
