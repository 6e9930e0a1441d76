package dispatch

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	errBodyEnded = errors.New("the attempt that read this request body is over")
	errBodyLarge = errors.New("request body is too large")
)

// requestBody is a request's body, which can be sent again as long as its first bytes are kept.
type requestBody struct {
	size   int64 // bytes, -1 when unknown
	source io.Reader
	conn   *callerConn

	readMu sync.Mutex // held while source is read
	mu     sync.Mutex
	kept   []byte    // bytes read so far, nil once they are more than prefetchSize
	lost   bool      // some bytes are not kept
	total  int64     // bytes read
	ended  bool      // source is at its end
	err    error     // that ended source
	moved  time.Time // last time that bytes came
	reader *bodyReader
}

// readBody reads the first part of a request's body; nil means there is none.
func readBody(ctx *fasthttp.RequestCtx, conn *callerConn, limit int64) (*requestBody, error) {
	n := ctx.Request.Header.ContentLength()
	src := ctx.RequestBodyStream()
	if n == 0 || src == nil {
		return nil, nil
	}
	if int64(n) > limit {
		return nil, errBodyLarge
	}
	b := &requestBody{size: int64(max(n, -1)), source: src, conn: conn}
	if err := b.prefetch(); err != nil {
		return nil, err
	}
	return b, nil
}

// prefetch reads up to prefetchSize bytes, so that a short body is whole before the call is dispatched.
func (b *requestBody) prefetch() error {
	buf := make([]byte, 0, b.prefetchCap())
	for len(buf) < cap(buf) {
		n, err := b.read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			b.ended = true
			break
		}
		if err != nil {
			return err
		}
	}
	b.kept = buf
	b.moved = time.Now()
	if b.size >= 0 && int64(len(buf)) == b.size {
		b.ended = true
	}
	if b.ended {
		b.err, b.size = io.EOF, int64(len(buf))
	}
	return nil
}

// read reads from the caller; the HTTP library ends a body that was cut like a whole one.
func (b *requestBody) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.total += int64(n)
	if errors.Is(err, io.EOF) && (b.total < b.size || (b.size < 0 && b.conn.atEnd())) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *requestBody) prefetchCap() int {
	if b.size >= 0 && b.size < prefetchSize {
		return int(b.size)
	}
	return prefetchSize
}

func (b *requestBody) length() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// spent tells whether the body cannot be sent again from its start.
func (b *requestBody) spent() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// arrived tells whether the whole body has come from the caller.
func (b *requestBody) arrived() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended && errors.Is(b.err, io.EOF)
}

// failed tells whether the caller's connection ended in the middle of the body.
func (b *requestBody) failed() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended && !errors.Is(b.err, io.EOF)
}

// lastMoved returns when the last bytes came, zero when there is no body.
func (b *requestBody) lastMoved() time.Time {
	if b == nil {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.moved
}

// open returns a reader from the body's start and ends the former one.
func (b *requestBody) open() io.Reader {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended && !b.lost && errors.Is(b.err, io.EOF) {
		b.reader = nil
		return bytes.NewReader(b.kept)
	}
	b.reader = &bodyReader{b: b}
	return b.reader
}

// end makes every reader fail; it waits for a read of the caller's connection that is under way.
func (b *requestBody) end() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.reader = nil
	b.mu.Unlock()
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.source = nil
}

// bodyReader reads a request's body for one attempt.
type bodyReader struct {
	b  *requestBody
	at int
}

// Read returns kept bytes first, then those that come from the caller.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, err, done := r.readKept(p); done {
		return n, err
	}
	r.b.readMu.Lock()
	defer r.b.readMu.Unlock()
	if n, err, done := r.readKept(p); done {
		return n, err
	}
	n, err := r.b.read(p)
	return r.took(p[:n], err)
}

func (r *bodyReader) readKept(p []byte) (int, error, bool) { //nolint:revive // done tells whether the other two hold
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if r.b.reader != r {
		return 0, errBodyEnded, true
	}
	if r.at < len(r.b.kept) {
		n := copy(p, r.b.kept[r.at:])
		r.at += n
		return n, nil, true
	}
	if r.b.ended {
		return 0, r.b.err, true
	}
	return 0, nil, false
}

// took keeps what a read of the source brought.
func (r *bodyReader) took(p []byte, err error) (int, error) {
	b := r.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.ended, b.err = true, err
	}
	if !b.lost && len(b.kept)+len(p) <= prefetchSize {
		b.kept = append(b.kept, p...)
	} else {
		b.lost, b.kept = true, nil
	}
	r.at += len(p)
	b.moved = time.Now()
	if b.reader != r {
		return 0, errBodyEnded
	}
	return len(p), err
}
