package dispatch

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	earlySize  = 512             // bytes of a next request that are read while a call runs
	lingerTime = 2 * time.Second // for which the rest of an unwanted request body is read
	lingerSize = 64 << 20        // bytes of it
)

// callerConn is a caller's connection that can be watched for its end while a call runs.
type callerConn struct {
	net.Conn
	stall  time.Duration // longest time without progress in a read or write
	limits func() Limits
	closed func(*callerConn)
	once   sync.Once
	ended  atomic.Bool // a read has failed

	mu        sync.Mutex
	busy      bool      // a request has begun to arrive and its answer is not yet written
	headerEnd time.Time // until then the header that has begun must be whole, zero when none is awaited
	stopping  bool      // no further request is wanted
	idleEnd   time.Time // until then a stopping idle connection still takes a request already sent
	early     []byte
	earlyErr  error
	watching  chan struct{} // closed when the watch has ended, nil for no watch
	ending    bool
	unread    bool // part of a request body has not been read
}

// Read returns bytes read early by a watch first.
func (c *callerConn) Read(b []byte) (int, error) {
	if n, err := c.readEarly(b); n > 0 || err != nil {
		return n, err
	}
	if err := c.armRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begin()
	} else if c.stoppedIdle() {
		return 0, io.EOF
	}
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

// atEnd tells whether a read has met the end of the connection.
func (c *callerConn) atEnd() bool { return c != nil && c.ended.Load() }

// stoppedIdle tells whether the connection ends because it is idle at a planned stop.
func (c *callerConn) stoppedIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping && !c.busy
}

// Write gives each write its own time limit.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		c.linger()
		c.closed(c)
	})
	return c.Conn.Close()
}

// linger reads on for a while when a request body is still coming, since closing at once would destroy the answer on its way.
func (c *callerConn) linger() {
	tc, ok := c.Conn.(*net.TCPConn)
	c.mu.Lock()
	unread := c.unread
	c.mu.Unlock()
	if !ok || !unread || tc.CloseWrite() != nil {
		return
	}
	_ = tc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, tc, lingerSize)
}

// abort closes the connection so that a cut answer cannot look whole.
func (c *callerConn) abort() {
	if c == nil {
		return
	}
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.once.Do(func() { c.closed(c) })
	_ = c.Conn.Close()
}

func (c *callerConn) readEarly(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.early) > 0 {
		n := copy(b, c.early)
		c.early = c.early[n:]
		c.busy = true
		return n, nil
	}
	return 0, c.earlyErr
}

// armRead sets the read deadline: one already past when an idle connection is to end.
func (c *callerConn) armRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping && !c.busy {
		return c.SetReadDeadline(c.idleEnd)
	}
	switch {
	case !c.busy:
		return c.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	case !c.headerEnd.IsZero():
		return c.SetReadDeadline(c.headerEnd)
	}
	return c.SetReadDeadline(time.Now().Add(c.stall))
}

// begin takes in bytes of a request; the first ones start the time for its header.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.busy, c.headerEnd = true, time.Now().Add(c.limits().HeaderTimeout)
	}
}

// headerLate tells whether the time for a header that has begun is over.
func (c *callerConn) headerLate() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.headerEnd.IsZero() && !time.Now().Before(c.headerEnd)
}

// setBusy takes in that a request's header is whole, or that its answer is written.
func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.headerEnd = busy, time.Time{}
}

// stop ends the connection once it is idle and the moment for a request already under way is over.
func (c *callerConn) stop(idleEnd time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping, c.idleEnd = true, idleEnd
	if !c.busy {
		_ = c.SetReadDeadline(idleEnd)
	}
}

// watch calls gone when the caller closes its connection; unwatch must follow before the next Read.
func (c *callerConn) watch(gone func()) {
	done := make(chan struct{})
	c.mu.Lock()
	c.watching, c.ending = done, false
	_ = c.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	go func() {
		defer close(done)
		buf := make([]byte, earlySize)
		n, err := c.Conn.Read(buf)
		if c.keepEarly(buf[:n], err) {
			gone()
		}
	}()
}

// keepEarly stores what a watch has read and tells whether the caller is gone.
func (c *callerConn) keepEarly(b []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.early = append(c.early, b...)
	if err == nil || (c.ending && os.IsTimeout(err)) {
		return false
	}
	c.earlyErr = err
	return true
}

func (c *callerConn) unwatch() {
	c.mu.Lock()
	done := c.watching
	c.watching, c.ending = nil, true
	if done != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if done != nil {
		<-done
	}
}

// leaveUnread ends a read that is under way; the connection takes no further request and ends after the answer.
func (c *callerConn) leaveUnread() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread, c.earlyErr = true, os.ErrDeadlineExceeded
	_ = c.SetReadDeadline(time.Unix(1, 0))
}
