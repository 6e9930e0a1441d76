package booking

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	spoolChunk     = 64 << 10 // bytes; unit of memory allocation
	maxSpooledBody = 8 << 20  // bytes held of one request body
	maxSpoolMemory = 32 << 20 // bytes held of all request bodies
)

// spool buffers request bodies until they have arrived, so that a slow caller occupies memory but no slot.
type spool struct {
	used atomic.Int64 // bytes reserved
}

// spooledBody is a request body of which the first bytes, or all of them, are in memory.
type spooledBody struct {
	spool    *spool
	chunks   [][]byte
	reserved int64
	rest     io.Reader // bytes not yet read; nil if the body is complete
}

// read buffers a body to its end, or until maxSpooledBody or maxSpoolMemory is reached.
func (s *spool) read(r io.Reader) (*spooledBody, error) {
	b := &spooledBody{spool: s}
	for {
		if b.reserved+spoolChunk > maxSpooledBody || !s.reserveChunk() {
			b.rest = r
			return b, nil
		}
		b.reserved += spoolChunk
		chunk := make([]byte, spoolChunk)
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

// reserveChunk reserves memory for one chunk and reports whether it was available.
func (s *spool) reserveChunk() bool {
	if s.used.Add(spoolChunk) <= maxSpoolMemory {
		return true
	}
	s.used.Add(-spoolChunk)
	return false
}

// length returns the size of the body in bytes, or the stated length if the body is incomplete.
func (b *spooledBody) length(stated int64) int64 {
	if b.rest != nil {
		return stated
	}
	n := int64(0)
	for _, c := range b.chunks {
		n += int64(len(c))
	}
	return n
}

// reader returns a reader of the body from its start.
func (b *spooledBody) reader() io.Reader {
	parts := make([]io.Reader, 0, len(b.chunks)+1)
	for _, c := range b.chunks {
		parts = append(parts, bytes.NewReader(c))
	}
	if b.rest != nil {
		parts = append(parts, b.rest)
	}
	return io.MultiReader(parts...)
}

// release returns the reserved memory to the spool. The chunks stay readable, since an upload may still be using them.
func (b *spooledBody) release() {
	b.spool.used.Add(-b.reserved)
	b.reserved = 0
}
