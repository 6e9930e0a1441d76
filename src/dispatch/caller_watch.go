package dispatch

import (
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// While a call runs, its caller's connection is read on, whatever arrives, since only a read shows
// that the caller has left.

const (
	backgroundReadSize = 512     // bytes of further requests in a first read
	discardReadSize    = 4 << 10 // bytes in a read once further requests are discarded
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
			c.holdWithinBounds(buf[:n])
			goesOn, left := c.endOfRead(err)
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

// endOfRead reports what the result of a background read means: whether another read is to follow, and
// whether the caller has left.
func (c *callerConn) endOfRead(err error) (goesOn, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		return true, false
	case c.aborting && os.IsTimeout(err):
		return false, false
	}
	c.pendingErr, c.callerEnded = err, true
	return false, true
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
