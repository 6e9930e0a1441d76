package booking

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxSmallBody     = 16 << 10               // bytes; a longer request body is sent while the answer is awaited, and buffered before the call requests a slot unless its stated length exceeds maxBufferedBody
	closeWaitMargin  = 250 * time.Millisecond // time after the timeout of a call for the backend server to close the connection
	defaultCloseWait = 5 * time.Second        // time for the backend server to close the connection of a call without a timeout
	connectRetryMS   = 100                    // milliseconds; Retry-After of a call that got no connection

	maxShedRetryAfter = time.Minute // longest Retry-After that is taken over from the backend server
)

var expiredDeadline = time.Unix(1, 0) // unblocks pending reads and writes

// exchange is the exchange of one admitted call with the backend server.
type exchange struct {
	s        *Server
	ctx      context.Context
	in       link.InboundCall
	head     wire.CallHead
	content  uint64 // of the request, 0 if unknown
	body     io.Reader
	call     uint64
	arrived  time.Time // start of its timeout
	admitted time.Time

	conn           *conn
	instance       string  // the only instance that may run it, empty for any
	notice         notice  // of its answer
	load           float64 // share of the slots in use when it began to run, itself included
	skippedAnswers int     // number of answers to other requests that were skipped
	token          string
	cancelled      chan struct{}           // closed when the call is cancelled before its answer is complete
	uploadDone     chan error              // result of a request body that is written while the answer is awaited; nil for none
	sendErr        error                   // result of send
	lose           context.CancelCauseFunc // ends the exchange with errLost
	doubted        atomic.Bool             // its caller's daemon has been told that the answer seems lost
	answering      bool                    // the head of the answer has arrived; guarded by s.mu
	resp           *fasthttp.Response
	fields         []wire.Field  // of the head of the answer
	released       bool          // the slot has been released
	held           time.Duration // for which it had the slot
	ender          runEnder
	crashed        bool      // the backend server crashed while it ran the request; guarded by s.mu
	cutAt          time.Time // when the backend server closed the connection, zero if it has not; guarded by s.mu
	full           bool      // it did so because it is full
}

// run executes the call and returns when it has ended. The slot is held until the backend server has ended the call or, if the exchange fails, until awaitBackendClose has stopped waiting for that.
func (x *exchange) run() {
	if r, ok := x.s.Quarantine.Admit(x.ctx, x.content); !ok { // it may have been quarantined while the call was queued
		x.release(ResultNotSent)
		x.refuse(r)
		return
	}
	c, err := x.s.pool.get(x.ctx, !x.head.Idempotent)
	if err != nil {
		x.refuseNoConnection(err)
		return
	}
	x.conn = c
	if x.s.hasLeft() {
		x.refuseLeft()
		return
	}
	x.instance = x.s.Instance()
	x.countConnection()
	x.cancelled = make(chan struct{})
	x.issueToken()
	defer x.s.tokens.revoke(x.token)
	x.resp = fasthttp.AcquireResponse()
	x.resp.Header.SetNoDefaultContentType(true)
	defer fasthttp.ReleaseResponse(x.resp)
	// detach separates the exchange from ctx; it returns false if ctx has already ended.
	x.ctx, x.lose = context.WithCancelCause(x.ctx)
	defer x.lose(nil)
	detach := context.AfterFunc(x.ctx, func() {
		close(x.cancelled)
		_ = c.nc.SetDeadline(expiredDeadline)
	})
	c.overhead = 0
	x.s.beginRun(x)
	x.sendErr = x.send()
	err = x.sendErr
	if err == nil && x.uploadDone == nil && x.s.Headers.Load != "" {
		x.s.step(Sent{Call: x.call})
	}
	if err == nil || c.mayHaveSent.Load() {
		err = x.readHead(err)
	}
	if err == nil && x.isCancelled() {
		err = x.ctx.Err() // the answer may be that of a backend server whose own calls were cancelled with this one
	}
	if err != nil {
		x.fail(detach, err)
		return
	}
	x.forwardAnswer(detach)
}

// isCancelled reports whether the call was cancelled; one whose timeout has passed still gets its answer.
func (x *exchange) isCancelled() bool {
	return x.ctx.Err() != nil && cancelReason(x.ctx) == wire.ReasonCancelled && !x.isLost()
}

func (x *exchange) countConnection() {
	if x.conn.answers > 0 {
		x.s.counters.reused.Inc()
		return
	}
	x.s.counters.dialed.Inc()
}

func (x *exchange) issueToken() {
	if x.s.Headers.Caller != "" {
		return // if Headers.Caller is set, the daemon does not look up the parents of calls made by its backend server
	}
	p := Parent{Depth: x.head.Depth, RetryLayer: x.head.RetryLayer, TraceID: x.head.TraceID, Cancelled: x.cancelled}
	if x.head.TimeoutMS > 0 {
		p.Deadline = x.arrived.Add(x.timeout())
	}
	x.token = x.s.tokens.issue(p)
}

func (x *exchange) timeout() time.Duration {
	return time.Duration(x.head.TimeoutMS) * time.Millisecond
}

// release releases the slot. Further calls have no effect.
func (x *exchange) release(r Result) {
	if x.released {
		return
	}
	x.released = true
	x.s.endRun(x)
	x.held = x.s.Now().Sub(x.admitted)
	x.s.step(Release{Call: x.call, Result: r, Took: x.held, AnswerSize: x.answerSize(r)})
	if r == ResultFailed || r == ResultReset {
		x.recordUnanswered(x.ender)
	}
	if r == ResultAnswered {
		x.s.counters.serviceTime.Update(x.held.Seconds())
	}
}

// answerSize returns the size of a successful answer in bytes, 0 if it is unknown.
func (x *exchange) answerSize(r Result) int64 {
	if r != ResultAnswered || x.resp.StatusCode() >= fasthttp.StatusMultipleChoices {
		return 0
	}
	return int64(max(0, x.resp.Header.ContentLength()))
}

func (x *exchange) refuse(r wire.Refusal) { x.s.refuse(x.in, x.head, r) }

// refuseNoConnection refuses a call for which no connection was available. No byte of it has been sent.
func (x *exchange) refuseNoConnection(err error) {
	x.release(ResultNotSent)
	r := wire.Refusal{Reason: wire.ReasonConnect, RetryAfterMS: connectRetryMS}
	switch {
	case x.ctx.Err() != nil:
		r = wire.Refusal{Reason: cancelReason(x.ctx)}
	case errors.Is(err, errPoolExhausted):
		r.Reason = wire.ReasonLimit
	default:
		x.s.recordConnectFailure()
	}
	x.refuse(r)
}

// fail refuses a call whose exchange failed before any part of its answer was forwarded.
func (x *exchange) fail(detach func() bool, err error) {
	r := wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: x.conn.mayHaveSent.Load()}
	if x.ctx.Err() != nil && !x.isLost() {
		r.Reason = cancelReason(x.ctx)
	}
	switch {
	case r.Reason != wire.ReasonCut || !r.MayHaveRun || x.isLost():
	case x.s.detectCrash(x, err):
		r.Reason, r.Repeated = wire.ReasonCrashed, x.s.Quarantine.IsRepeated(x.content)
	case x.full:
		r = x.s.fullRefusal()
		x.s.countFullReset(x)
	case isProtocolError(err):
		r.Reason = wire.ReasonProtocol
		x.s.logProtocolError(x, err)
	}
	x.ender = x.enderOfFailure(r)
	x.recordOutcome(x.refusalOutcome(r))
	x.s.Log.V(1).Info("exchange with the backend server failed", "reason", err.Error(), "request_id", x.head.TraceID)
	if (r.Reason != wire.ReasonCancelled || x.doubted.Load()) && !x.full {
		x.s.recordCallOutcome(false)
	}
	x.refuse(r)
	x.awaitBackendClose(detach)
}

// awaitBackendClose waits until the backend server has closed the connection or has sent maxDiscard
// further bytes, closeWaitTimeout has passed or ReleaseCancelled is called, then closes the
// connection and releases the slot.
// If nothing has been sent, or the backend server seems not to run the call, it does not wait.
//
// Closing the write side signals to the backend server that nobody waits for the answer. A backend server that has closed the connection no longer runs the call.
func (x *exchange) awaitBackendClose(detach func() bool) {
	detach()
	c := x.conn
	if tcp, ok := c.nc.(*net.TCPConn); ok && c.mayHaveSent.Load() && !x.doubted.Load() {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(x.closeWaitTimeout()))
		stopAfterFunc := context.AfterFunc(x.s.closeWaitCtx, func() { _ = tcp.SetReadDeadline(expiredDeadline) })
		defer stopAfterFunc()
		_, err := io.CopyN(io.Discard, c.nc, maxDiscard)
		if errors.Is(err, errTimeout) {
			x.s.counters.reclaimed.Inc()
		}
	}
	x.s.pool.drop(c)
	if x.full {
		x.release(ResultReset)
		return
	}
	x.release(ResultFailed)
}

// closeWaitTimeout returns how long to wait for the backend server to close the connection: the rest of the timeout of the call plus closeWaitMargin, or defaultCloseWait for a call without a timeout.
func (x *exchange) closeWaitTimeout() time.Duration {
	if x.head.TimeoutMS <= 0 {
		return defaultCloseWait
	}
	remaining := x.timeout() - x.s.Now().Sub(x.arrived)
	return max(0, remaining) + closeWaitMargin
}

// refuseShed refuses a call that the backend server has shed, that is, has answered without running it.
func (x *exchange) refuseShed(detach func() bool) {
	after := shedRetryAfter(string(x.resp.Header.Peek("Retry-After")))
	x.s.counters.shed.Inc()
	bodyRead := x.discardBody(maxDiscard) == nil
	x.finish(detach, bodyRead, ResultShed)
	if x.isMisdirected() {
		x.s.handleMisdirected(x.instance)
		x.refuse(wire.Refusal{Reason: wire.ReasonWrongMember})
		return
	}
	x.refuse(wire.Refusal{Reason: wire.ReasonShed, RetryAfterMS: after.Milliseconds()})
}

// shedRetryAfter returns the time that a Retry-After in seconds, with or without fractions, states,
// between minRetryAfter and maxShedRetryAfter; minRetryAfter if it is no number.
func shedRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > minRetryAfter.Seconds()) {
		return minRetryAfter
	}
	return time.Duration(min(seconds, maxShedRetryAfter.Seconds()) * float64(time.Second))
}

// finish returns the connection to the pool if it is reusable, closes it otherwise, and releases the slot.
// bodyRead is false if the answer body was not read completely or is delimited by the end of the connection.
func (x *exchange) finish(detach func() bool, bodyRead bool, r Result) {
	reusable := detach() && bodyRead && x.uploaded() && !x.mayBeUnread() && x.skippedAnswers == 0 && x.head.Method != fasthttp.MethodHead && !x.mayBeRepeated() && !x.resp.ConnectionClose()
	if reusable {
		x.s.pool.put(x.conn)
	} else {
		x.s.pool.drop(x.conn)
	}
	x.release(r)
	if r == ResultAnswered {
		x.s.forgetCuts(x)
	}
	if r == ResultAnswered && x.resp.StatusCode() < fasthttp.StatusInternalServerError {
		x.s.Quarantine.Answered(x.content, x.s.Now().Sub(x.admitted))
	}
}

// mayBeUnread reports whether the backend server may have answered a long upload without reading
// all of it. It then reads on later, and the next request on the connection would wait for that.
func (x *exchange) mayBeUnread() bool {
	isLong := x.head.BodyLength < 0 || x.head.BodyLength > maxSmallBody
	return isLong && x.resp.StatusCode() >= fasthttp.StatusBadRequest
}

// uploaded reports whether the complete request has been written.
func (x *exchange) uploaded() bool {
	if x.uploadDone == nil {
		return x.sendErr == nil
	}
	select {
	case err := <-x.uploadDone:
		x.uploadDone = nil
		return err == nil
	default:
		return false
	}
}
