package dispatch

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// maxOverhead bounds the bytes of chunk sizes and trailers of a request body that are read without any of the body.
const maxOverhead = 64 << 10

var errTooMuchOverhead = problem.New(problem.Protocol, "request body", "chunk sizes or trailers over "+strconv.Itoa(maxOverhead)+" bytes", "send chunks without long extensions, and short trailers")

// callerConn is a caller's connection; a background read detects whether the caller disconnects while a call runs.
type callerConn struct {
	net.Conn
	stallTimeout time.Duration // longest time without progress in a read or write
	limits       func() Limits
	onClose      func(*callerConn)
	heldBytes    *atomic.Int64         // bytes in pending of all connections
	cuts         *cuts                 // nil to record none
	memory       *memory               // nil for no bound
	surplus      bool                  // its requests are refused, since there are too many connections
	written      atomic.Int64          // bytes
	writeErr     atomic.Pointer[error] // the answer is incomplete
	closeReason  atomic.Uint32         // of type closeReason
	recordOnce   sync.Once
	closeOnce    sync.Once
	readFailed   atomic.Bool // a read has returned an error, io.EOF included
	mayPipeline  atomic.Bool // further requests may follow the last one

	mu                 sync.Mutex
	progress           *progress     // of the last request whose header has been read
	unflushed          []*progress   // of earlier requests whose answers the HTTP library still holds
	idleSince          time.Time     // last answer, or the beginning of the connection
	busy               bool          // a request has begun to arrive and its answer is not yet written
	headerDeadline     time.Time     // of a header that has begun to arrive, zero for none
	lateHeader         bool          // it has been read on after its deadline
	stopping           bool          // accepts no further request once idleDeadline has passed
	idleDeadline       time.Time     // if stopping: until then an idle connection still accepts a request that was sent before
	header             headerScanner // of the request that is being read
	pending            []byte        // bytes from a background read or behind the present header; the next reads return them
	pendingErr         error         // returned by reads; the caller has left if it is of a background read
	overflowed         bool          // further requests have been discarded, see discardPending
	ending             bool          // only the requests in the first answerable bytes of pending are still answered
	answerable         int
	ended              bool          // the connection has been closed, so that nothing more is held
	callerEnded        bool          // a read has returned the end of the caller's side, or a failure of the connection
	halfClosed         bool          // all answers are written and followed by the end of our side
	backgroundReadDone chan struct{} // closed when the background read has returned, nil for none
	aborting           bool          // abortBackgroundRead is ending the background read
	bodyUnread         bool          // part of a request body has not been read
	readsBody          bool          // a request body is being read
	overhead           int           // bytes read since it began or since its last bytes
	reserved           int64         // bytes of memory for the present request
}

// Read returns the bytes of a background read first.
func (c *callerConn) Read(b []byte) (int, error) {
	if n, err := c.readPending(b); n > 0 || err != nil {
		return n, err
	}
	if err := c.updateReadDeadline(); err != nil {
		return 0, err
	}
	if c.hasTooMuchOverhead() {
		c.readFailed.Store(true)
		c.noteClose(closeOverhead)
		return 0, errTooMuchOverhead
	}
	n, err := c.Conn.Read(b)
	if os.IsTimeout(err) && c.hasLateArrivals() {
		return c.readPending(b)
	}
	c.addOverhead(n)
	if n > 0 {
		n = c.startRequest(b[:n])
	} else if c.isStoppingIdle() {
		c.noteClose(closeStop)
		return 0, io.EOF
	}
	if err != nil {
		c.readFailed.Store(true)
		c.noteEnd(err)
	}
	return n, err
}

// noteEnd records a failed read, after which nothing more can arrive unless it has timed out.
func (c *callerConn) noteEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callerEnded = c.callerEnded || !os.IsTimeout(err)
	c.noteReadError(os.IsTimeout(err))
}

// hasTooMuchOverhead reports whether a request body sends chunk sizes or trailers on and on.
func (c *callerConn) hasTooMuchOverhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readsBody && c.overhead > maxOverhead
}

func (c *callerConn) addOverhead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overhead += n
}

// progressBody records that a request body begins, or that bytes of it have been read.
func (c *callerConn) progressBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsBody, c.overhead = true, 0
}

// hasReadFailed reports whether a read has failed, io.EOF included.
func (c *callerConn) hasReadFailed() bool { return c != nil && c.readFailed.Load() }

// isStoppingIdle reports whether the connection is to be closed because it is idle during a graceful shutdown.
func (c *callerConn) isStoppingIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping && !c.busy
}

// Write sets a deadline for each write.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stallTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	if err != nil {
		c.writeErr.Store(&err)
		c.noteWriteError(err)
		return n, err
	}
	c.completeUnflushed()
	return n, err
}

// Close closes the connection once the caller has received what was written, see linger. After a
// failed write it resets the connection.
func (c *callerConn) Close() error {
	defer c.endProgress() // of a request that was read after the connection had been reset
	if c.writeErr.Load() != nil {
		c.recordOnce.Do(c.recordClose)
		c.abort()
		return nil
	}
	c.closeOnce.Do(func() {
		c.recordOnce.Do(c.recordClose)
		c.linger()
		c.dropPending()
		c.onClose(c)
	})
	return c.Conn.Close()
}

// abort resets the connection, so that the caller cannot take a truncated answer for a complete one.
// If its answers are complete, it only closes the connection: the system delivers what is written.
func (c *callerConn) abort() {
	if c == nil {
		return
	}
	c.recordOnce.Do(c.recordAbort)
	if tc, ok := c.Conn.(*net.TCPConn); ok && !c.isHalfClosed() {
		_ = tc.SetLinger(0)
	}
	_ = c.Conn.Close() // first, since it ends a Close that lingers
	c.closeOnce.Do(func() {
		c.dropPending()
		c.onClose(c)
	})
}

// updateReadDeadline sets the deadline of the next read; during a graceful shutdown, that of an idle connection may have passed already.
func (c *callerConn) updateReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping && !c.busy {
		return c.SetReadDeadline(c.idleDeadline)
	}
	switch {
	case !c.busy:
		return c.SetReadDeadline(time.Now().Add(c.limits().IdleTimeout))
	case !c.headerDeadline.IsZero():
		return c.SetReadDeadline(c.headerDeadline)
	}
	return c.SetReadDeadline(time.Now().Add(c.stallTimeout))
}

// startRequest marks the connection busy when the first bytes of a request arrive, and starts the
// timeout of its header. It returns the number of bytes that belong to the present request; the
// others are kept for the next reads.
func (c *callerConn) startRequest(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginRequest()
	return c.keepBehindHeader(b)
}

// beginRequest marks an idle connection busy and starts the timeout of a header; the caller must hold c.mu.
func (c *callerConn) beginRequest() {
	if !c.busy {
		c.busy, c.headerDeadline, c.lateHeader = true, time.Now().Add(c.limits().HeaderTimeout), false
	}
}

// headerTimedOut reports whether the timeout of a header that has begun to arrive has passed.
func (c *callerConn) headerTimedOut() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.headerDeadline.IsZero() && !time.Now().Before(c.headerDeadline)
}

// setBusy records that a request's header is complete (true) or that its answer is written (false).
func (c *callerConn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping && c.busy && !busy { // the answer has not announced the close
		c.idleDeadline = time.Now().Add(idleGrace)
	}
	if !busy {
		c.releaseReserved()
		c.idleSince = time.Now()
	}
	c.busy, c.headerDeadline, c.readsBody = busy, time.Time{}, false
	if !busy {
		c.header = headerScanner{}
	}
	c.header.done = busy
}

// stop ends the connection once it is idle and idleDeadline has passed; until then it still accepts a request that was sent before. Further calls do not postpone it.
func (c *callerConn) stop(idleDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return
	}
	c.stopping, c.idleDeadline = true, idleDeadline
	if !c.busy {
		_ = c.SetReadDeadline(c.idleDeadline)
	}
}

// stopReading ends a read in progress and leaves the rest of the request body unread; the connection accepts no further request and is closed after the answer.
func (c *callerConn) stopReading() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnread, c.pendingErr = true, os.ErrDeadlineExceeded
	c.noteClose(closeBodyUnread)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}
