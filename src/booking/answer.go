package booking

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxPooledAnswer   = 64 << 10         // bytes; an answer up to this size is read into a buffer of answerBuffers
	maxBufferedAnswer = 1 << 20          // bytes; an answer up to this size is read completely while bodyBuffer has room, so that its slot is free before its caller has read it
	stallTimeout      = 20 * time.Second // a streamed answer is cut off once its caller has taken none of it for this long; its server may be silent for longer
	maxDiscard        = 64 << 10         // bytes of an unneeded answer body that are read to reuse the connection
)

var answerBuffers = sync.Pool{New: func() any { return new([maxPooledAnswer]byte) }}

// forwardAnswer forwards the answer to the caller, or refuses the call if the backend server shed it. For detach, see run.
func (x *exchange) forwardAnswer(detach func() bool) {
	if x.isShed() {
		x.refuseShed(detach)
		return
	}
	x.fields = x.forwardedFields()
	n := int64(x.resp.Header.ContentLength())
	switch {
	case x.hasNoBody():
		x.forwardBuffered(detach, max(n, 0), nil)
	case x.isFailure() && (n < 0 || n > maxBufferedAnswer):
		x.bufferFailure(detach)
	case n >= 0 && n <= maxPooledAnswer:
		buf := answerBuffers.Get().(*[maxPooledAnswer]byte)
		defer answerBuffers.Put(buf)
		x.bufferAnswer(detach, buf[:n])
	case n >= 0 && n <= maxBufferedAnswer && x.s.bodyBuffer.reserve(n):
		defer x.s.bodyBuffer.release(n)
		x.bufferAnswer(detach, make([]byte, n))
	default:
		x.forwardStreamed(detach, max(n, -1)) // ContentLength is -1 for a chunked body and -2 for one that ends with the connection
	}
}

// bufferAnswer reads an answer of length len(buf) completely and forwards it.
func (x *exchange) bufferAnswer(detach func() bool, buf []byte) {
	if _, err := io.ReadFull(x.answerBody(), buf); err != nil {
		x.fail(detach, err)
		return
	}
	x.forwardBuffered(detach, int64(len(buf)), buf)
}

// bufferFailure reads the body of a failure that states no length, or a large one, and forwards it.
// One that is too long, as it may have no end, is refused, so that the caller gets a whole answer.
func (x *exchange) bufferFailure(detach func() bool) {
	limit := int64(maxPooledAnswer)
	if x.s.bodyBuffer.reserve(maxBufferedAnswer) {
		defer x.s.bodyBuffer.release(maxBufferedAnswer)
		limit = maxBufferedAnswer
	}
	body, err := io.ReadAll(io.LimitReader(x.answerBody(), limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errBodyTooLong
	}
	if err != nil {
		x.fail(detach, err)
		return
	}
	x.forwardBuffered(detach, int64(len(body)), body)
}

// forwardBuffered releases the slot, then forwards an answer that has been read completely.
func (x *exchange) forwardBuffered(detach func() bool, length int64, body []byte) {
	endsWithConnection := !x.hasNoBody() && x.resp.Header.ContentLength() == -2
	x.recordOutcome(x.answerOutcome())
	x.finish(detach, !endsWithConnection, ResultAnswered)
	x.s.recordCallOutcome(true)
	w, err := x.in.Reply(x.replyHead(length))
	if err == nil && len(body) > 0 {
		_, err = w.Write(body)
	}
	if err != nil || w.Close() != nil {
		x.recordUnanswered(x.enderOfContext(endedByLink))
		return
	}
	x.countAnswered()
}

// forwardStreamed forwards an answer while it is being received.
func (x *exchange) forwardStreamed(detach func() bool, length int64) {
	w, err := x.in.Reply(x.replyHead(length))
	if err != nil {
		x.ender = x.enderOfContext(endedByLink)
		x.awaitBackendClose(detach)
		return
	}
	x.s.recordCallOutcome(true)
	fromBackend, err := x.copyBody(w, x.answerBody())
	switch {
	case err == nil && w.Close() == nil:
		x.recordOutcome(x.answerOutcome())
		x.finish(detach, length >= 0 || x.resp.Header.ContentLength() == -1, ResultAnswered)
		x.countAnswered()
	case fromBackend:
		x.s.counters.truncated.Inc()
		crashed := x.s.detectCrash(x, err)
		x.ender = x.enderOfBody(err, crashed)
		x.recordOutcome(failureOutcome(crashed))
		x.refuse(wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true})
		x.awaitBackendClose(detach)
	default:
		x.ender = x.enderOfContext(endedByStall)
		x.recordOutcome(rollout.OutcomeCut)
		x.in.Refuse(wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true}) // the caller's side failed: neither counted nor logged
		x.awaitBackendClose(detach)
	}
}

// copyBody copies a body from r to w. The first result reports whether an error came from the backend server.
func (x *exchange) copyBody(w io.Writer, r io.Reader) (bool, error) {
	buf := answerBuffers.Get().(*[maxPooledAnswer]byte)
	defer answerBuffers.Put(buf)
	for {
		n, err := r.Read(buf[:])
		if n > 0 {
			stallTimer := time.AfterFunc(x.s.stallTimeout, func() {
				x.in.Refuse(wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true}) // the pending Write then fails
			})
			_, err := w.Write(buf[:n])
			stallTimer.Stop()
			if err != nil {
				return false, err
			}
		}
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return true, err
		}
	}
}

// discardBody reads the body of an answer that is not forwarded. It fails if the body has limit bytes or more.
func (x *exchange) discardBody(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(x.answerBody(), limit))
	if err == nil && n >= limit {
		return errBodyTooLong
	}
	return err
}

// countAnswered counts and logs an answer that was forwarded completely.
func (x *exchange) countAnswered() {
	x.s.counters.answered.Inc()
	if log := x.s.rolloutLog(x.s.callLog(x.head.Tenant)); log.Enabled() {
		log.Info("answered", "request_id", x.head.TraceID, "route", x.head.Route, "attempt", x.head.Attempt, "instance", x.instance, "status", x.resp.StatusCode(),
			"waited_ms", x.admitted.Sub(x.arrived).Milliseconds(), "took_ms", x.s.Now().Sub(x.admitted).Milliseconds())
	}
}
