package booking

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"sync/atomic"
)

const (
	bufferChunk     = 64 << 10 // bytes; unit of memory allocation
	maxBufferedBody = 8 << 20  // most bytes of one body that are buffered
	maxBufferMemory = 32 << 20 // most bytes of all bodies that are buffered, if Server.BodyMemory is not set
)

// bodyBuffer bounds the memory of request bodies that are buffered before their calls request a slot, and of long answers that are buffered
// before they are forwarded, so that a slow caller or network link occupies memory but no slot.
type bodyBuffer struct {
	max  int64        // bytes, 0 for maxBufferMemory
	used atomic.Int64 // bytes reserved
}

// bufferedBody is a request body of which the first bytes, or all of them, are in memory.
type bufferedBody struct {
	buffer   *bodyBuffer
	chunks   [][]byte
	reserved int64
	rest     io.Reader // bytes not yet read; nil if the body is complete
}

// read buffers a body to its end, or until maxBufferedBody or maxBufferMemory is reached.
func (s *bodyBuffer) read(r io.Reader) (*bufferedBody, error) {
	b := &bufferedBody{buffer: s}
	for {
		if b.reserved+bufferChunk > maxBufferedBody || !s.reserve(bufferChunk) {
			b.rest = r
			return b, nil
		}
		b.reserved += bufferChunk
		chunk := make([]byte, bufferChunk)
		n, err := io.ReadFull(r, chunk)
		b.chunks = append(b.chunks, chunk[:n])
		if errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && atEOF(r)) {
			return b, nil
		}
		if err != nil {
			b.release()
			return nil, err
		}
	}
}

// atEOF reports whether r is at its end. It is needed because io.ReadFull returns io.ErrUnexpectedEOF both for a short last chunk and for a truncated body.
func atEOF(r io.Reader) bool {
	n, err := r.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// reserve reserves n bytes of memory and reports whether they were available.
func (s *bodyBuffer) reserve(n int64) bool {
	if s.used.Add(n) <= cmp.Or(s.max, maxBufferMemory) {
		return true
	}
	s.release(n)
	return false
}

// release returns reserved memory.
func (s *bodyBuffer) release(n int64) { s.used.Add(-n) }

// length returns the size of the body in bytes, or the stated length if the body is incomplete.
func (b *bufferedBody) length(stated int64) int64 {
	if b.rest != nil {
		return stated
	}
	n := int64(0)
	for _, c := range b.chunks {
		n += int64(len(c))
	}
	return n
}

// reader returns a reader of the body from its start. It may be called only once, since it consumes rest.
func (b *bufferedBody) reader() io.Reader {
	parts := make([]io.Reader, 0, len(b.chunks)+1)
	for _, c := range b.chunks {
		parts = append(parts, bytes.NewReader(c))
	}
	if b.rest != nil {
		parts = append(parts, b.rest)
	}
	return io.MultiReader(parts...)
}

// release returns the reserved memory to the buffer. The chunks stay readable, since an upload may still be using them.
func (b *bufferedBody) release() {
	b.buffer.release(b.reserved)
	b.reserved = 0
}
