package link

import (
	"context"
	"io"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// inboundCall is a call opened by the peer. It implements InboundCall.
type inboundCall struct {
	c          *connection
	id         uint64
	head       wire.CallHead
	recvBuffer *recvBuffer
	sendFlow   *sendFlow
	ctx        context.Context
	cancel     context.CancelCauseFunc
	replied    bool           // guarded by the mutex of the send queue, as is replyHead
	replyHead  wire.ReplyHead // without its fields
	replyTimer *time.Timer    // cancels the call if no answer has begun within its timeout; nil without a timeout
}

// receiveOpen admits a call or refuses it as not run.
func (c *connection) receiveOpen(f wire.OpenFrame) error {
	c.mu.Lock()
	if f.Call <= c.lastID {
		c.mu.Unlock()
		return protocolError(c.peer.Addr.String(), "call id is not above the previous one")
	}
	if c.closing { // not covered by the goaway frame, so the peer treats it as refused
		c.mu.Unlock()
		return nil
	}
	c.lastID = f.Call
	atLimit := len(c.inboundCalls) >= c.pool.limits.CallsPerLink
	c.mu.Unlock()
	switch {
	case c.pool.Calls == nil:
		c.refuseCall(f.Call, wire.ReasonNotReady)
	case atLimit || !c.pool.callBudget.tryAcquire(1):
		c.refuseCall(f.Call, wire.ReasonLimit)
	default:
		c.serveCall(f)
	}
	return nil
}

func (c *connection) refuseCall(id uint64, reason wire.RefusalReason) {
	c.sendControl(wire.FrameRefuse, &wire.RefuseFrame{Call: id, Refusal: wire.Refusal{Reason: reason}})
}

func (c *connection) serveCall(f wire.OpenFrame) {
	in := &inboundCall{c: c, id: f.Call, head: f.Head, sendFlow: c.queue.newBodyFlow(&f.Head)}
	in.recvBuffer = newRecvBuffer(c.pool, c.recvLimiter, in.sendCredit)
	if f.Head.BodyLength == 0 {
		in.recvBuffer.ended = true
	} else {
		in.recvBuffer.expectBody(f.Head.BodyLength)
	}
	in.ctx, in.cancel = context.WithCancelCause(c.ctx)
	if f.Head.TimeoutMS > 0 {
		d := time.Duration(f.Head.TimeoutMS) * time.Millisecond
		in.replyTimer = time.AfterFunc(d, in.onReplyTimeout)
	}
	c.mu.Lock()
	c.inboundCalls[in.id] = in
	c.mu.Unlock()
	if c.pool.callWorkers.Go(in.run) != nil {
		in.Refuse(wire.Refusal{Reason: wire.ReasonLimit})
		in.finish()
	}
}

// run serves the call and ends it if the handler has not.
func (in *inboundCall) run() {
	defer in.finish()
	defer in.Refuse(wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true})
	in.c.pool.Calls.ServeCall(in.ctx, in)
}

// finish frees the resources of the call.
func (in *inboundCall) finish() {
	in.cancel(errCallEnded)
	in.stopReplyTimer()
	in.recvBuffer.discard(errCallEnded)
	in.c.pool.callBudget.release(1)
}

// onReplyTimeout cancels a call whose answer has not begun in time, and fails pending reads of its request body.
func (in *inboundCall) onReplyTimeout() {
	in.cancel(context.DeadlineExceeded)
	in.recvBuffer.fail(context.DeadlineExceeded)
}

// stopReplyTimer removes the time limit once an answer has begun, so that it may take as long as its reader needs.
func (in *inboundCall) stopReplyTimer() {
	if in.replyTimer != nil {
		in.replyTimer.Stop()
	}
}

func (in *inboundCall) sendCredit(add uint32) {
	in.c.sendControl(wire.FrameWindow, &wire.WindowFrame{Call: in.id, Add: add})
}

// Head returns the call's head.
func (in *inboundCall) Head() wire.CallHead { return in.head }

// Peer returns the member that has sent the call.
func (in *inboundCall) Peer() Peer { return in.c.peer }

// Body returns the request body.
func (in *inboundCall) Body() io.Reader { return in.recvBuffer }

// Reply sends the head of the answer and returns the writer of its body.
func (in *inboundCall) Reply(h wire.ReplyHead) (io.WriteCloser, error) {
	in.stopReplyTimer()
	q := &in.c.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.awaitUrgentRoom(in.sendFlow); err != nil {
		return nil, err
	}
	before := q.urgentQueued
	end, err := q.pushHead(wire.FrameReply, &wire.ReplyFrame{Call: in.id, Head: h})
	if err != nil {
		return nil, err
	}
	in.c.pool.countBytes(wire.FrameReply, directionSent, int(end-before))
	q.expectBody(in.sendFlow, h.BodyLength)
	in.replied, in.replyHead = true, wire.ReplyHead{Status: h.Status, BodyLength: h.BodyLength}
	if h.BodyLength < 0 || h.BodyLength > maxUrgentPayload {
		q.hasFrames.Signal() // a short body signals when it is queued, immediately after this, so that head and body are written together
	}
	return &replyWriter{in: in}, nil
}

// Refuse ends the call without an answer.
func (in *inboundCall) Refuse(r wire.Refusal) {
	if !in.remove() {
		return
	}
	in.c.queue.stopFlow(in.sendFlow, errCallEnded)
	in.c.sendControl(wire.FrameRefuse, &wire.RefuseFrame{Call: in.id, Refusal: r})
}

// remove unregisters the call and reports whether it was still in progress.
func (in *inboundCall) remove() bool {
	in.c.mu.Lock()
	_, ok := in.c.inboundCalls[in.id]
	delete(in.c.inboundCalls, in.id)
	in.c.mu.Unlock()
	return ok
}

// abort ends the call without notifying the peer.
func (in *inboundCall) abort(err error) {
	in.c.queue.stopFlow(in.sendFlow, err)
	in.recvBuffer.fail(io.ErrUnexpectedEOF)
	in.cancel(err)
}

func (c *connection) receiveCancel(f wire.CancelFrame) {
	c.mu.Lock()
	in, ok := c.inboundCalls[f.Call]
	delete(c.inboundCalls, f.Call)
	c.mu.Unlock()
	if ok {
		in.abort(errCallCancelled)
	}
}

// replyWriter writes the body of an answer.
type replyWriter struct{ in *inboundCall }

// Write sends a part of the body and blocks while the peer grants no credit.
func (w *replyWriter) Write(p []byte) (int, error) {
	if err := w.in.c.queue.sendData(w.in.sendFlow, w.in.id, p); err != nil {
		return 0, err
	}
	w.in.c.pool.countBytes(wire.FrameData, directionSent, len(p)+headerSize)
	return len(p), nil
}

// Close marks the answer as complete.
func (w *replyWriter) Close() error {
	in := w.in
	err := in.c.queue.sendEnd(in.sendFlow, in.id)
	if err == nil {
		in.recordSent()
	}
	if in.remove() {
		in.c.queue.stopFlow(in.sendFlow, errCallEnded)
	}
	return err
}
