package link

import (
	"errors"
	"io"
	"sync"
)

// inbox holds the bytes of one body that have arrived and are not yet read, never more than its window.
type inbox struct {
	mu      sync.Mutex
	arrived sync.Cond
	buf     []byte
	off     int
	window  int   // bytes that the other end may have under way
	credit  int   // bytes that the other end may still send
	unacked int   // bytes read and not yet given back as credit
	ended   bool  // the body has arrived to its end
	err     error // why the body was cut
	shared  *budget
	intake  *intake
	counted bool             // by intake, since it needs credit
	grant   func(add uint32) // sends credit to the other end
}

func newInbox(p *Pool, grant func(uint32)) *inbox {
	b := &inbox{window: initialWindow, credit: initialWindow, shared: &p.memory, intake: p.intake, grant: grant}
	b.arrived.L = &b.mu
	return b
}

// expect prepares for a body of so many bytes, below zero when unknown; one that fits into its first window needs no credit, and a longer one of known length gets some before it is read.
func (b *inbox) expect(length int64) {
	if length >= 0 && length <= initialWindow {
		return
	}
	b.mu.Lock()
	if b.err != nil || b.ended {
		b.mu.Unlock()
		return
	}
	b.counted = true
	b.intake.begin(b, initialWindow)
	add := int(min(length, firstWindow)) - initialWindow
	if add <= 0 || !b.shared.take(add) {
		b.mu.Unlock()
		return
	}
	b.window += add
	b.credit += add
	b.mu.Unlock()
	b.intake.request(b, add)
}

// leave has a body that is over no longer counted.
func (b *inbox) leave() {
	b.mu.Lock()
	counted := b.counted
	b.mu.Unlock()
	if counted {
		b.intake.end(b)
	}
}

// put stores p and tells whether the other end kept within its credit.
func (b *inbox) put(p []byte) bool {
	counted, ok := b.store(p)
	if counted {
		b.intake.arrived(b, len(p)) // not under the lock: it may give other bodies credit
	}
	return ok
}

func (b *inbox) store(p []byte) (counted, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(p) > b.credit {
		return false, false
	}
	b.credit -= len(p)
	if b.err != nil {
		return b.counted, true
	}
	if b.off > 0 && len(b.buf)+len(p) > cap(b.buf) {
		b.buf = b.buf[:copy(b.buf, b.buf[b.off:])]
		b.off = 0
	}
	b.buf = append(b.buf, p...)
	b.arrived.Signal()
	return b.counted, true
}

// finish marks the body as whole.
func (b *inbox) finish() {
	defer b.leave()
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.arrived.Broadcast()
}

// cut ends a body that is not whole.
func (b *inbox) cut(err error) {
	defer b.leave()
	b.mu.Lock()
	if b.err == nil && !b.ended {
		b.err = err
	}
	b.mu.Unlock()
	b.arrived.Broadcast()
}

// drop forgets what has arrived and returns the memory.
func (b *inbox) drop(err error) {
	defer b.leave()
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.buf, b.off = nil, 0
	if extra := b.window - initialWindow; extra > 0 {
		b.shared.give(extra)
		b.window = initialWindow
	}
	b.mu.Unlock()
	b.arrived.Broadcast()
}

// whole tells whether the body has arrived to its end.
func (b *inbox) whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended && b.err == nil
}

// Buffered returns the number of bytes that can be read without waiting.
func (b *inbox) Buffered() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buf) - b.off
}

// Read waits for bytes of the body.
func (b *inbox) Read(p []byte) (int, error) {
	b.mu.Lock()
	for b.off == len(b.buf) && b.err == nil && !b.ended {
		b.arrived.Wait()
	}
	if err := b.over(); err != nil {
		b.mu.Unlock()
		return 0, err
	}
	n := copy(p, b.buf[b.off:])
	b.off += n
	if b.off == len(b.buf) {
		b.buf, b.off = b.buf[:0], 0
	}
	add := b.acknowledge(n)
	b.mu.Unlock()
	if add > 0 {
		b.intake.request(b, add)
	}
	return n, nil
}

// over returns why nothing can be read now; b.mu is held.
func (b *inbox) over() error {
	if b.err == nil && b.off == len(b.buf) {
		return io.EOF
	}
	return b.err
}

// WriteTo copies the rest of the body to w.
func (b *inbox) WriteTo(w io.Writer) (int64, error) {
	p := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(p)
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

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// acknowledge counts n bytes read and returns the credit to send, doubling the window while memory allows.
func (b *inbox) acknowledge(n int) int {
	b.unacked += n
	if !b.counted || b.ended || b.err != nil || b.unacked < b.window/2 {
		return 0
	}
	add := b.unacked
	if more := min(b.window, maxWindow-b.window); more > 0 && b.shared.take(more) {
		add += more
		b.window += more
	}
	b.unacked = 0
	b.credit += add
	return add
}
