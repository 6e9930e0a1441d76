package booking

import (
	"bufio"
	"errors"
	"io"
)

// sizedBody is a body whose length its head states.
type sizedBody struct {
	r         io.Reader
	remaining int64 // bytes
}

// Read returns io.ErrUnexpectedEOF when the body is shorter than stated.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks; fasthttp reports one that is cut between two chunks as whole.
type chunkedBody struct {
	r    io.Reader
	conn *conn
}

// Read returns io.ErrUnexpectedEOF when the connection ended before the last chunk.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) && b.conn.remoteClosed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// errorBody is a body that cannot be read.
type errorBody struct{ err error }

// Read returns the error.
func (b errorBody) Read([]byte) (int, error) { return 0, b.err }

// uploadBody is a request body that pushes out what has been written before it waits for more.
type uploadBody struct {
	r io.Reader
	w *bufio.Writer
}

// Read reads from the caller's side. A flush returns no bytes by itself: w may be reading
// into its own buffer at an offset that the flush has just changed.
func (b *uploadBody) Read(p []byte) (int, error) {
	if b.w.Buffered() > 0 && b.mayBlock() {
		return 0, b.w.Flush()
	}
	return b.r.Read(p)
}

// mayBlock tells whether the next read may have to wait for the caller.
func (b *uploadBody) mayBlock() bool {
	buffered, ok := b.r.(interface{ Buffered() int })
	return !ok || buffered.Buffered() == 0
}
