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
	errReaderInvalid = errors.New("request body is no longer open to this attempt: a later attempt reads it, or the call has ended")
	errBodyTooLarge  = errors.New("request body is too large")
	errNoMemory      = errors.New("no memory for a request body")
)

// requestBody is the body of a request. It can be sent again as long as everything read so far is buffered.
type requestBody struct {
	size   int64 // bytes, -1 when unknown
	limit  int64 // bytes, 0 for none
	source io.Reader
	conn   *callerConn

	readMu      sync.Mutex // held while source is read
	mu          sync.Mutex
	buffered    []byte      // bytes read so far, nil once they exceed prefetchSize
	consumed    bool        // some bytes are no longer buffered
	bytesRead   int64       // from source
	sourceEnded bool        // source has reached its end or failed
	sourceErr   error       // io.EOF at the end of a complete body
	progressAt  time.Time   // last time that bytes arrived
	reader      *bodyReader // the only one that may read, nil for none
}

// readBody reads the first part of a request's body; it returns nil for a request without a body.
func readBody(ctx *fasthttp.RequestCtx, conn *callerConn, limit int64) (*requestBody, error) {
	n := ctx.Request.Header.ContentLength()
	src := ctx.RequestBodyStream()
	if n == 0 || src == nil {
		return nil, nil
	}
	if int64(n) > limit {
		return nil, errBodyTooLarge
	}
	b := &requestBody{size: int64(max(n, -1)), limit: limit, source: src, conn: conn}
	if !conn.reserve(b.prefetchLimit()) {
		return nil, errNoMemory
	}
	conn.progressBody()
	if err := b.prefetch(); err != nil {
		return nil, err
	}
	return b, nil
}

// prefetch reads up to prefetchSize bytes, so that a short body is complete before the call is dispatched.
func (b *requestBody) prefetch() error {
	buf := make([]byte, 0, b.prefetchLimit())
	for len(buf) < cap(buf) {
		n, err := b.read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			b.sourceEnded = true
			break
		}
		if err != nil {
			return err
		}
	}
	b.buffered = buf
	b.progressAt = time.Now()
	if b.size >= 0 && int64(len(buf)) == b.size {
		b.sourceEnded = true
	}
	if b.sourceEnded {
		b.sourceErr, b.size = io.EOF, int64(len(buf))
	}
	return nil
}

// read reads from the caller. The HTTP library ends a truncated body like a complete one; read returns io.ErrUnexpectedEOF for it.
func (b *requestBody) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.bytesRead += int64(n)
	if b.limit > 0 && b.bytesRead > b.limit {
		return 0, errBodyTooLarge // one that comes in chunks, without a length
	}
	if n > 0 {
		b.conn.progressBody()
	}
	if errors.Is(err, io.EOF) && (b.bytesRead < b.size || (b.size < 0 && b.conn.hasReadFailed())) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *requestBody) prefetchLimit() int {
	if b.size >= 0 && b.size < prefetchSize {
		return int(b.size)
	}
	return prefetchSize
}

// length returns the size in bytes, 0 for no body and -1 when unknown.
func (b *requestBody) length() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// start returns the part of the body that is read before the call is dispatched: all of a short one.
func (b *requestBody) start() []byte {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered
}

// isConsumed reports whether part of the body is no longer buffered, so that it cannot be sent again.
func (b *requestBody) isConsumed() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consumed
}

// isComplete reports whether the whole body has arrived from the caller.
func (b *requestBody) isComplete() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sourceEnded && errors.Is(b.sourceErr, io.EOF)
}

// failure returns why the body cannot arrive whole, as when the caller's connection ended in the middle of it; nil for none.
func (b *requestBody) failure() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.sourceEnded || errors.Is(b.sourceErr, io.EOF) {
		return nil
	}
	return b.sourceErr
}

// lastProgress returns when bytes last arrived, zero for no body.
func (b *requestBody) lastProgress() time.Time {
	if b == nil {
		return time.Time{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.progressAt
}

// newReader returns a reader from the body's start and invalidates the previous one. The reader fails if isConsumed holds.
func (b *requestBody) newReader() io.Reader {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sourceEnded && !b.consumed && errors.Is(b.sourceErr, io.EOF) {
		b.reader = nil
		return bytes.NewReader(b.buffered)
	}
	r := &bodyReader{body: b}
	b.reader = nil
	if !b.consumed {
		b.reader = r
	}
	return r
}

// invalidate ends the reading through r, a result of newReader: bytes that it does not return stay buffered for the next reader.
func (b *requestBody) invalidate(r io.Reader) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if reader, ok := r.(*bodyReader); ok && b.reader == reader {
		b.reader = nil
	}
}

// detach invalidates the reader and releases the source, after a read of the caller's connection that is in progress has returned.
func (b *requestBody) detach() {
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
	body   *requestBody
	offset int
}

// Read returns buffered bytes first, then those that arrive from the caller.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, err, done := r.readBuffered(p); done {
		return n, err
	}
	r.body.readMu.Lock()
	defer r.body.readMu.Unlock()
	if n, err, done := r.readBuffered(p); done {
		return n, err
	}
	n, err := r.body.read(p)
	return r.store(p[:n], err)
}

func (r *bodyReader) readBuffered(p []byte) (int, error, bool) { //nolint:revive // the last result reports whether the other two are valid
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.body.reader != r {
		return 0, errReaderInvalid, true
	}
	if r.offset < len(r.body.buffered) {
		n := copy(p, r.body.buffered[r.offset:])
		r.offset += n
		return n, nil, true
	}
	if r.body.sourceEnded {
		return 0, r.body.sourceErr, true
	}
	return 0, nil, false
}

// store buffers bytes read from the source as long as all of them fit in prefetchSize. If the reader has become invalid meanwhile,
// store returns errReaderInvalid and buffers them whatever their number, since the next reader cannot read them from the source.
func (r *bodyReader) store(p []byte, err error) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.sourceEnded, b.sourceErr = true, err
	}
	b.progressAt = time.Now()
	valid := b.reader == r
	switch {
	case b.consumed:
	case !valid || len(b.buffered)+len(p) <= prefetchSize:
		b.buffered = append(b.buffered, p...)
	default:
		b.consumed, b.buffered = true, nil
	}
	if !valid {
		return 0, errReaderInvalid
	}
	r.offset += len(p)
	return len(p), err
}
