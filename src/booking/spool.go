package booking

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	spoolChunk     = 64 << 10 // bytes
	maxSpooledBody = 8 << 20  // bytes of one request body
	maxSpoolMemory = 32 << 20 // bytes of all request bodies that wait for their callers
)

// spool holds request bodies until they have arrived, so that a slow caller holds memory and no slot.
type spool struct {
	used atomic.Int64
}

// spooledBody is a request body of which the first bytes, or all of them, are in memory.
type spooledBody struct {
	spool    *spool
	chunks   [][]byte
	reserved int64
	rest     io.Reader // nil when the body is whole
}

// read takes in a body until its end, or until the memory for it is used up.
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

// atEOF tells whether a body is at its end; io.ReadFull tells a short chunk and a cut body alike.
func atEOF(r io.Reader) bool {
	n, err := r.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

func (s *spool) reserveChunk() bool {
	if s.used.Add(spoolChunk) <= maxSpoolMemory {
		return true
	}
	s.used.Add(-spoolChunk)
	return false
}

// length returns the body's size in bytes, or what its head states when it is not whole.
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

// reader returns the body from its start.
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

// release gives the memory back; the chunks may still be read by an upload that is ending.
func (b *spooledBody) release() {
	b.spool.used.Add(-b.reserved)
	b.reserved = 0
}
