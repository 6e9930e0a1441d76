package dispatch

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// shortAnswer is the largest answer that is read whole before it is passed on, in bytes.
const shortAnswer = 64 << 10

var errLength = errors.New("the answer's body is not as long as its head states")

// accept passes an attempt's answer to the caller.
func (c *call) accept(a *attempt) {
	c.over = true
	a.accepted = true
	c.p.counters.answered.Inc()
	h := a.reply.Head
	took := c.p.Now().Sub(c.start)
	c.p.counters.took.Update(took.Seconds())
	c.log().Info("answered", "request_id", c.head.TraceID, "status", h.Status, "attempt", a.number, "by", a.member.ID, "took_ms", took.Milliseconds())
	c.ctx.SetStatusCode(int(h.Status))
	setFields(&c.ctx.Response.Header, h.Fields)
	switch {
	case c.ctx.IsHead():
		c.acceptHead(a)
	case a.short:
		c.ctx.Response.SetBodyRaw(a.whole)
		c.ended(a, false)
		c.payment.finish(record(a))
	default:
		c.stream(a)
	}
}

// acceptHead passes on an answer that has no body, with the length that it states.
func (c *call) acceptHead(a *attempt) {
	c.ctx.Response.SkipBody = true
	if n := a.reply.Head.BodyLength; n >= 0 {
		c.ctx.SetBodyStream(http.NoBody, int(n))
	}
	a.close()
	c.ended(a, false)
}

func (c *call) ended(a *attempt, cut bool) {
	c.p.step(AttemptEnded{Call: c.id, Attempt: a.number, Cut: cut})
	a.cancel()
}

// stream passes on a long answer as it comes.
func (c *call) stream(a *attempt) {
	c.handed = true
	size := a.reply.Head.BodyLength
	c.ctx.SetBodyStream(&answerBody{call: c, attempt: a, sized: size >= 0, left: size}, int(max(size, -1)))
}

// answerBody is the body of an answer on its way to the caller; it is used after the call's run is over.
type answerBody struct {
	call    *call
	attempt *attempt
	sized   bool
	left    int64 // bytes, when sized
	cut     bool
	whole   bool
	once    sync.Once
}

// Read reads from the backend server's side; a cut answer ends the caller's connection.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.attempt.reply.Body.Read(p)
	if b.sized {
		n, err = b.count(n, err)
	}
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.whole = true
		return n, io.EOF
	}
	b.cut = true
	b.call.p.counters.cut.Inc()
	b.call.conn.abort()
	return n, io.ErrUnexpectedEOF
}

// count holds an answer to the length that its head states.
func (b *answerBody) count(n int, err error) (int, error) {
	if int64(n) > b.left {
		return 0, errLength
	}
	b.left -= int64(n)
	if errors.Is(err, io.EOF) && b.left > 0 {
		return n, errLength
	}
	return n, err
}

// Close ends the call.
func (b *answerBody) Close() error {
	b.once.Do(func() {
		if b.whole {
			b.call.payment.finish(record(b.attempt))
		} else {
			b.call.payment.abandon()
		}
		_ = b.attempt.reply.Body.Close()
		b.call.ended(b.attempt, b.cut)
		b.call.cancel()
	})
	return nil
}
