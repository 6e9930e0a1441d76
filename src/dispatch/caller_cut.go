package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/textproto"
	"time"

	"golang.org/x/sys/unix"

	"github.com/yuccaport/yuccaport/src/cut"
)

// readsHeader reports whether a header has begun to arrive and is not complete.
func (c *callerConn) readsHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy && !c.headerDeadline.IsZero()
}

// hasBegunRequest reports whether a request has begun to arrive.
func (c *callerConn) hasBegunRequest() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// beginProgress starts the progress of a request whose header has been read, or could not be read.
func (c *callerConn) beginProgress(id string, s cut.State) {
	if c == nil || c.cuts == nil {
		return
	}
	p := &progress{conn: c, began: time.Now(), writtenBefore: c.written.Load(), request: cut.Request{ID: id, State: s, Missing: -1}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress = p
}

// currentProgress returns the progress of the last request whose header has been read, nil for none.
func (c *callerConn) currentProgress() *progress {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress
}

// recordAbort records the requests that are lost by resetting the connection.
func (c *callerConn) recordAbort() {
	if c.cuts == nil {
		return
	}
	by := c.cuts.ender(cut.Caller)
	c.noteClose(closeReasonOf(by))
	c.recordLost(by, true)
	c.countClose()
}

// recordClose records the requests that are lost by closing the connection.
func (c *callerConn) recordClose() {
	if c.cuts == nil {
		return
	}
	c.endProgress()
	if c.readsHeader() { // the HTTP library ends a header of empty lines without an answer
		c.noteClose(closeMalformed)
	}
	c.countClose()
	c.mu.Lock()
	stopping := c.stopping
	c.mu.Unlock()
	if stopping {
		c.recordLost(c.cuts.ender(cut.ProxyDrain), false)
	}
}

// endProgress records the end of the last request: after a failed write, it has no whole answer.
func (c *callerConn) endProgress() {
	if c.cuts == nil {
		return
	}
	if err := c.writeErr.Load(); err != nil {
		by := c.cuts.ender(cut.Caller)
		c.currentProgress().cut(by, *err)
		c.cutUnflushed(by)
	}
	c.currentProgress().complete()
}

// answerFlushed records that the answer to the last request has been passed to the HTTP library, which
// writes it at once unless the next request has arrived behind a body.
func (c *callerConn) answerFlushed() {
	p := c.currentProgress()
	if !p.isUnflushed() {
		p.complete()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unflushed = append(c.unflushed, p)
}

// completeUnflushed records that answers that the HTTP library held back have been written.
func (c *callerConn) completeUnflushed() {
	for _, p := range c.takeUnflushed() {
		p.complete()
	}
}

// cutUnflushed records that answers that the HTTP library held back are lost.
func (c *callerConn) cutUnflushed(by cut.Ender) {
	for _, p := range c.takeUnflushed() {
		p.cut(by, nil)
	}
}

func (c *callerConn) takeUnflushed() []*progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.unflushed
	c.unflushed = nil
	return out
}

// recordLost records the request in progress, those behind it, and an answer that a reset would discard.
func (c *callerConn) recordLost(by cut.Ender, resets bool) {
	p := c.currentProgress()
	readsHeader := c.readsHeader()
	c.mu.Lock()
	bodyUnread := c.bodyUnread
	held := bytes.Clone(c.pending)
	c.mu.Unlock()
	if resets {
		p.cutWritten(by)
	}
	p.cut(by, nil)
	c.cutUnflushed(p.endedBy(by))
	if readsHeader {
		c.cuts.Record(cut.Request{State: cut.Header, By: by, Missing: -1})
	}
	for _, id := range requestIDs(held, c.cuts.requestID) {
		c.cuts.Record(cut.Request{ID: id, State: cut.Held, By: by, Missing: -1})
	}
	if !bodyUnread && c.unread() > 0 {
		c.cuts.Record(cut.Request{State: cut.Unread, By: by, Missing: -1})
	}
}

// requestIDs returns the IDs of the requests, without bodies, whose headers are whole, empty for those without one.
func requestIDs(b []byte, field string) []string {
	var ids []string
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(b)))
	for {
		if _, err := r.ReadLine(); err != nil {
			return ids
		}
		h, err := r.ReadMIMEHeader()
		if err != nil {
			return ids
		}
		ids = append(ids, h.Get(field))
	}
}

// unacked returns the bytes that the caller has not acknowledged.
func (c *callerConn) unacked() int { return c.queued(unix.SIOCOUTQ) }

// unread returns the bytes that have arrived and have not been read.
func (c *callerConn) unread() int { return c.queued(unix.SIOCINQ) }

// queued returns the size of one of the socket's queues, 0 if it is unknown.
func (c *callerConn) queued(request uint) int {
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	ctrlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), request) })
	if errors.Join(err, ctrlErr) != nil {
		return 0
	}
	return n
}
