package dispatch

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxBufferedAnswer is the size in bytes up to which an answer is read completely before any of it is passed on.
const maxBufferedAnswer = 64 << 10

var errBodyLength = errors.New("length of the answer's body differs from the length stated in its head")

// acceptAnswer passes an attempt's answer to the caller.
func (c *call) acceptAnswer(a *attempt) {
	c.ended = true
	a.accepted = true
	c.proxy.counters.answers.Inc()
	h := a.reply.Head
	elapsed := c.proxy.Now().Sub(c.start)
	c.proxy.counters.answerSeconds.Update(elapsed.Seconds())
	c.proxy.cuts.WithSignal(c.log()).Info("answered", "request_id", c.head.TraceID, "status", h.Status, "attempt", a.number, "by", a.member.ID, "took_ms", elapsed.Milliseconds())
	c.progress.answerFromServer(int(h.Status), h.BodyLength, !a.buffered && !c.ctx.IsHead())
	c.ctx.SetStatusCode(int(h.Status))
	setFields(&c.ctx.Response.Header, h.Fields)
	switch {
	case c.ctx.IsHead():
		c.acceptWithoutBody(a)
	case a.buffered:
		c.ctx.Response.SetBodyRaw(a.body)
		c.endAttempt(a, false)
		c.payment.finish(newRecord(a))
	default:
		c.streamAnswer(a)
	}
}

// acceptWithoutBody passes on the answer to a HEAD request, with the body length that it states.
func (c *call) acceptWithoutBody(a *attempt) {
	c.ctx.Response.SkipBody = true
	if n := a.reply.Head.BodyLength; n >= 0 {
		c.ctx.SetBodyStream(http.NoBody, int(n))
	}
	a.close()
	c.endAttempt(a, false)
}

// endAttempt reports to the core that an accepted answer has ended, and cancels the attempt's context.
func (c *call) endAttempt(a *attempt, truncated bool) {
	c.proxy.step(AttemptEnded{Call: c.id, Attempt: a.number, Truncated: truncated, Streamed: c.streaming.Load()})
	a.cancel()
}

// streamAnswer passes on the body of a long answer while it arrives.
func (c *call) streamAnswer(a *attempt) {
	c.streaming.Store(true)
	c.cancelStream() // the caller may have disconnected just before
	size := a.reply.Head.BodyLength
	c.ctx.SetBodyStream(&answerBody{call: c, attempt: a, hasLength: size >= 0, remaining: size}, int(max(size, -1)))
}

// answerBody is the body of a streamed answer; the HTTP library reads and closes it after run has returned.
type answerBody struct {
	call      *call
	attempt   *attempt
	hasLength bool
	remaining int64 // bytes, if hasLength
	truncated bool
	complete  bool
	closeOnce sync.Once
}

// Read reads from the backend server; if the answer is truncated, it resets the caller's connection.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.attempt.reply.Body.Read(p)
	if b.hasLength {
		n, err = b.checkLength(n, err)
	}
	b.setMissing()
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.complete = true
		return n, io.EOF
	}
	b.truncated = true
	b.call.proxy.counters.answersTruncated.Inc()
	by := b.call.proxy.cuts.enderOfRead(err)
	b.call.conn.noteClose(closeReasonOf(by))
	b.call.progress.cut(by, err)
	b.call.conn.abort()
	return n, io.ErrUnexpectedEOF
}

// checkLength returns errBodyLength if the answer is longer or shorter than its head states.
func (b *answerBody) checkLength(n int, err error) (int, error) {
	if int64(n) > b.remaining {
		return 0, errBodyLength
	}
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) && b.remaining > 0 {
		return n, errBodyLength
	}
	return n, err
}

// setMissing passes on how much of the answer is still to be read.
func (b *answerBody) setMissing() {
	if b.hasLength {
		b.call.progress.setMissing(b.remaining)
	}
}

// Close records the outcome of a payment and ends the call; closing it again has no effect.
func (b *answerBody) Close() error {
	b.closeOnce.Do(func() {
		if b.complete {
			b.call.payment.finish(newRecord(b.attempt))
		} else {
			b.call.payment.abandon()
		}
		_ = b.attempt.reply.Body.Close()
		if b.call.detectsDisconnect {
			b.call.conn.abortBackgroundRead()
		}
		b.call.endAttempt(b.attempt, b.truncated)
		b.call.cancel()
	})
	return nil
}
