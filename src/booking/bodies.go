package booking

import (
	"bufio"
	"errors"
	"io"
)

// sizedBody is a body with a Content-Length.
type sizedBody struct {
	r         io.Reader
	remaining int64 // bytes
}

// Read returns io.ErrUnexpectedEOF if the body is shorter than its Content-Length.
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

// chunkedBody is a body in chunked encoding. It exists because fasthttp reports a body that was truncated between two chunks as complete.
type chunkedBody struct {
	r    io.Reader
	conn *conn
}

// Read returns io.ErrUnexpectedEOF if the connection ended before the last chunk.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) && b.conn.remoteClosed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// unframedBody is a body without a length that ends with the connection.
type unframedBody struct{ conn *conn }

// Read returns io.ErrUnexpectedEOF if the backend server has reset the connection. The system reports
// that once, which may be to a write of the request, and the end of the stream to reads.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.conn.r.Read(p)
	if errors.Is(err, io.EOF) && b.conn.endWrites() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// progressBody is the body of an answer on conn.
type progressBody struct {
	r    io.Reader
	conn *conn
}

// Read resets the overhead of the connection when bytes of the body arrive.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if n > 0 {
		b.conn.overhead = 0
	}
	return n, err
}

// limitedBody is a body that may have at most remaining bytes.
type limitedBody struct {
	r         io.Reader
	remaining int64
}

// Read returns errBodyTooLong if the body is longer.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLong
	}
	return n, err
}

// errorBody is a body that could not be opened.
type errorBody struct{ err error }

// Read returns the error that occurred when the body was opened.
func (b errorBody) Read([]byte) (int, error) { return 0, b.err }

// uploadBody is a request body that flushes the bytes already written to w before it waits for more from the caller.
type uploadBody struct {
	r io.Reader
	w *bufio.Writer
}

// Read reads from the caller's body. After a flush it returns 0 bytes: w may be reading
// into its own buffer, at an offset that the flush has just changed.
func (b *uploadBody) Read(p []byte) (int, error) {
	if b.w.Buffered() > 0 && b.mayBlock() {
		return 0, b.w.Flush()
	}
	return b.r.Read(p)
}

// mayBlock reports whether the next read may wait for the caller.
func (b *uploadBody) mayBlock() bool {
	buffered, ok := b.r.(interface{ Buffered() int })
	return !ok || buffered.Buffered() == 0
}
