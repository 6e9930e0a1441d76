package dispatch

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	firstBytes     = 16 << 10 // bytes read at first of an answer for which there is no memory
	heldAnswerPart = 8        // the largest answer that is held may take this part of the memory
)

// heldAnswer is the body of a long answer of which nothing has been passed on. It is read into
// memory while there is any, so that the call can be sent again if the rest is lost.
//
// One goroutine fills it; the one that reads it may begin while a read of the first is still in
// progress.
type heldAnswer struct {
	body   io.ReadCloser
	memory *answerMemory
	size   int64 // of the body, negative if unknown

	released atomic.Bool // to be passed on as it is

	mu       sync.Mutex
	filled   sync.Cond // signalled when a read by fill has ended
	filling  bool      // such a read is in progress
	closed   bool
	held     []byte
	pos      int // bytes of held that have been read
	reserved int64
	err      error // of the last read of body
}

func newHeldAnswer(body io.ReadCloser, size int64, m *answerMemory) *heldAnswer {
	h := &heldAnswer{body: body, memory: m, size: size}
	h.filled.L = &h.mu
	return h
}

// fill reads the body until it is complete, fails or is released. An answer without a length may be
// a stream, which its caller reads as it comes: it is read until the first bytes are there, as is
// one for which there is no memory.
func (h *heldAnswer) fill() {
	h.allocate()
	for h.readOnce() {
	}
}

func (h *heldAnswer) allocate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.size + 1 // one more shows a body that is too long
	if h.closed || h.released.Load() || h.size < 0 || !h.memory.reserve(n) {
		h.held = make([]byte, 0, firstBytes)
		return
	}
	h.reserved, h.held = n, make([]byte, 0, n)
}

// readOnce reads once, without the lock, and reports whether to go on.
func (h *heldAnswer) readOnce() bool {
	h.mu.Lock()
	if h.released.Load() {
		h.mu.Unlock()
		return false
	}
	h.filling = true
	end := len(h.held)
	free := h.held[end:cap(h.held)]
	h.mu.Unlock()
	n, err := h.body.Read(free)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.filling, h.held, h.err = false, h.held[:end+n], err
	h.filled.Broadcast()
	if h.closed {
		h.free()
		return false
	}
	return err == nil && (n == 0 || h.reserved > 0 && len(h.held) < cap(h.held))
}

// release lets the answer be passed on; it reports false if it already is.
func (h *heldAnswer) release() bool { return h.released.CompareAndSwap(false, true) }

// isBroken reports whether the answer cannot become complete. It is called after fill.
func (h *heldAnswer) isBroken() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := int64(len(h.held))
	switch {
	case h.size >= 0 && n > h.size:
		return true
	case errors.Is(h.err, io.EOF):
		return h.size >= 0 && n < h.size
	}
	return h.err != nil
}

// Read reads what is held and then the rest of the body.
func (h *heldAnswer) Read(p []byte) (int, error) {
	h.mu.Lock()
	for h.pos == len(h.held) && h.filling {
		h.filled.Wait()
	}
	n := copy(p, h.held[h.pos:])
	h.pos += n
	err := h.err
	if !h.filling && h.pos == len(h.held) {
		h.free()
	}
	h.mu.Unlock()
	switch {
	case n > 0:
		return n, nil
	case err != nil:
		return 0, err
	}
	return h.body.Read(p)
}

// Close discards the rest.
func (h *heldAnswer) Close() error {
	err := h.body.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if !h.filling {
		h.free()
	}
	return err
}

// free returns the memory. h.mu must be held.
func (h *heldAnswer) free() {
	h.memory.release(h.reserved)
	h.held, h.pos, h.reserved = nil, 0, 0
}
