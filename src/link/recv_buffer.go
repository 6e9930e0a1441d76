package link

import (
	"errors"
	"io"
	"sync"
)

// recvBuffer holds the received bytes of one body that are not yet read, never more than its window.
type recvBuffer struct {
	mu          sync.Mutex
	changed     sync.Cond // signalled when bytes arrive or the body ends
	buf         []byte    // bytes not yet read, from readPos
	readPos     int
	window      int     // bytes that may be in flight or in buf
	credit      int     // bytes that the peer may still send, including credit that recvLimiter has not granted yet
	uncredited  int     // bytes read and not yet returned as credit
	ended       bool    // the end of the body has arrived
	err         error   // why the body is incomplete
	memory      *budget // charged for the part of window above initialWindow
	recvLimiter *recvLimiter
	needsCredit bool             // the body may exceed its initial window: recvLimiter tracks it, and bytes read are returned as credit
	sendCredit  func(add uint32) // sends a window frame to the peer
}

func newRecvBuffer(p *Pool, l *recvLimiter, sendCredit func(uint32)) *recvBuffer {
	b := &recvBuffer{window: initialWindow, credit: initialWindow, memory: &p.memoryBudget, recvLimiter: l, sendCredit: sendCredit}
	b.changed.L = &b.mu
	return b
}

// expectBody prepares for a body of length bytes, negative if unknown. A body that fits into its initial window needs no credit. A longer one of known length is granted some before it is read.
func (b *recvBuffer) expectBody(length int64) {
	if length >= 0 && length <= initialWindow {
		return
	}
	b.mu.Lock()
	if b.err != nil || b.ended {
		b.mu.Unlock()
		return
	}
	b.needsCredit = true
	b.recvLimiter.track(b, initialWindow)
	add := int(min(length, longBodyWindow)) - initialWindow
	if add <= 0 || !b.memory.tryAcquire(add) {
		b.mu.Unlock()
		return
	}
	b.window += add
	b.credit += add
	b.mu.Unlock()
	b.recvLimiter.requestCredit(b, add)
}

// leaveLimiter removes a body that has ended from the limiter.
func (b *recvBuffer) leaveLimiter() {
	b.mu.Lock()
	needsCredit := b.needsCredit
	b.mu.Unlock()
	if needsCredit {
		b.recvLimiter.untrack(b)
	}
}

// put stores p and reports whether the peer stayed within its credit.
func (b *recvBuffer) put(p []byte) bool {
	needsCredit, ok := b.store(p)
	if needsCredit {
		b.recvLimiter.recordReceived(b, len(p)) // without b.mu, since it may grant credit to other bodies
	}
	return ok
}

// store appends p and reports whether the body needs credit and whether p is within the credit.
func (b *recvBuffer) store(p []byte) (needsCredit, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(p) > b.credit {
		return false, false
	}
	b.credit -= len(p)
	if b.err != nil {
		return b.needsCredit, true
	}
	if b.readPos > 0 && len(b.buf)+len(p) > cap(b.buf) {
		b.buf = b.buf[:copy(b.buf, b.buf[b.readPos:])]
		b.readPos = 0
	}
	b.buf = append(b.buf, p...)
	b.changed.Signal()
	return b.needsCredit, true
}

// finish marks the body as complete.
func (b *recvBuffer) finish() {
	defer b.leaveLimiter()
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.changed.Broadcast()
}

// fail ends an incomplete body with an error. Reads fail at once, even if bytes are buffered; discard returns the memory.
func (b *recvBuffer) fail(err error) {
	defer b.leaveLimiter()
	b.mu.Lock()
	if b.err == nil && !b.ended {
		b.err = err
	}
	b.mu.Unlock()
	b.changed.Broadcast()
}

// discard ends the body, drops its unread bytes and returns its memory to the budget.
func (b *recvBuffer) discard(err error) {
	defer b.leaveLimiter()
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.buf, b.readPos = nil, 0
	if extra := b.window - initialWindow; extra > 0 {
		b.memory.release(extra)
		b.window = initialWindow
	}
	b.mu.Unlock()
	b.changed.Broadcast()
}

// isComplete reports whether the whole body has arrived.
func (b *recvBuffer) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended && b.err == nil
}

// Buffered returns the number of bytes that can be read without waiting. Forwarders find it by type assertion on the Body of an InboundCall, to flush before they wait.
func (b *recvBuffer) Buffered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buf) - b.readPos
}

// Read reads from the body and waits if no bytes are buffered.
func (b *recvBuffer) Read(p []byte) (int, error) {
	b.mu.Lock()
	for b.readPos == len(b.buf) && b.err == nil && !b.ended {
		b.changed.Wait()
	}
	if err := b.readError(); err != nil {
		b.mu.Unlock()
		return 0, err
	}
	n := copy(p, b.buf[b.readPos:])
	b.readPos += n
	if b.readPos == len(b.buf) {
		b.buf, b.readPos = b.buf[:0], 0
	}
	add := b.recordRead(n)
	b.mu.Unlock()
	if add > 0 {
		b.recvLimiter.requestCredit(b, add)
	}
	return n, nil
}

// readError returns the error of a Read, nil if bytes can be read; b.mu must be held.
func (b *recvBuffer) readError() error {
	if b.err == nil && b.readPos == len(b.buf) {
		return io.EOF
	}
	return b.err
}

// WriteTo copies the rest of the body to w.
func (b *recvBuffer) WriteTo(w io.Writer) (int64, error) {
	p := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(p)
	var total int64
	for {
		n, err := b.Read(p[:])
		if err != nil {
			return total, ignoreEOF(err)
		}
		n, err = w.Write(p[:n])
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
}

// chunkPool holds unused buffers for copying bodies.
var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// recordRead records that n bytes were read and returns the credit to grant. It doubles the window while the memory budget allows; b.mu must be held.
func (b *recvBuffer) recordRead(n int) int {
	b.uncredited += n
	if !b.needsCredit || b.ended || b.err != nil || b.uncredited < b.window/2 {
		return 0
	}
	add := b.uncredited
	if growth := min(b.window, maxWindow-b.window); growth > 0 && b.memory.tryAcquire(growth) {
		add += growth
		b.window += growth
	}
	b.uncredited = 0
	b.credit += add
	return add
}
