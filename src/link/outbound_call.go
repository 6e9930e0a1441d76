package link

import (
	"context"
	"errors"
	"io"

	"github.com/yuccaport/yuccaport/src/wire"
)

// outboundCall is a call that this end has opened.
type outboundCall struct {
	c            *connection
	id           uint64
	traceID      string
	route        string
	openFrameEnd uint64       // position of the end of the open frame in the stream of urgent bytes
	outcome      chan Outcome // only the first Outcome is received from it
	recvBuffer   *recvBuffer
	sendFlow     *sendFlow
	doubt        func(Doubt) // runs when the answer may not come, nil for none
	replied      bool        // the head of the answer has arrived; guarded by c.mu
	stopWatch    func() bool // stops the watch of the context; nil if there is none
}

// openCall registers a call and queues its open frame, or returns the reason for refusing it.
func (c *connection) openCall(head wire.CallHead, doubt func(Doubt)) (*outboundCall, wire.RefusalReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, wire.ReasonLinkLost
	}
	o := &outboundCall{c: c, id: c.lastID + 1, traceID: head.TraceID, route: head.Route, doubt: doubt, outcome: make(chan Outcome, 1), sendFlow: c.queue.newBodyFlow(&head)}
	o.recvBuffer = newRecvBuffer(c.pool, c.recvLimiter, o.sendCredit)
	c.queue.mu.Lock()
	defer c.queue.mu.Unlock()
	if c.queue.err != nil {
		return nil, wire.ReasonLinkLost
	}
	if len(c.queue.urgent) > urgentHighWater {
		return nil, wire.ReasonLimit
	}
	before := c.queue.urgentQueued
	end, err := c.queue.pushHead(wire.FrameOpen, &wire.OpenFrame{Call: o.id, Head: head})
	if err != nil {
		return nil, wire.ReasonLimit
	}
	c.pool.countBytes(wire.FrameOpen, directionSent, int(end-before))
	o.openFrameEnd = end
	c.queue.expectBody(o.sendFlow, head.BodyLength)
	c.lastID = o.id
	c.outboundCalls[o.id] = o
	c.queue.hasFrames.Signal()
	return o, wire.ReasonNone
}

func (o *outboundCall) sendCredit(add uint32) {
	o.c.sendControl(wire.FrameWindow, &wire.WindowFrame{Call: o.id, Add: add})
}

// remove unregisters the call and reports whether it was still in progress.
func (o *outboundCall) remove() bool {
	o.c.mu.Lock()
	_, ok := o.c.outboundCalls[o.id]
	delete(o.c.outboundCalls, o.id)
	o.c.mu.Unlock()
	return ok
}

// startBody sends a short in-memory body before it returns, and any other body in a goroutine.
func (o *outboundCall) startBody(body io.Reader) {
	if m, ok := body.(interface{ Len() int }); ok && m.Len() <= maxUrgentPayload {
		o.sendBody(body)
		return
	}
	go o.sendBody(body)
}

// sendBody sends the request body. It cancels the call if reading the body fails.
func (o *outboundCall) sendBody(body io.Reader) {
	chunk := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(chunk)
	buf := chunk[:]
	for {
		n, err := body.Read(buf)
		if n > 0 && o.writeBody(buf[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = o.c.queue.sendEnd(o.sendFlow, o.id)
			return
		}
		if err != nil {
			o.cancel(wire.ReasonCancelled, err)
			return
		}
	}
}

func (o *outboundCall) writeBody(p []byte) error {
	err := o.c.queue.sendData(o.sendFlow, o.id, p)
	if err == nil {
		o.c.pool.countBytes(wire.FrameData, directionSent, len(p)+headerSize)
	}
	return err
}

// cancel ends the call and notifies the peer. The call is refused with reason or, if the head of its answer has arrived, reads of the answer return err.
func (o *outboundCall) cancel(reason wire.RefusalReason, err error) {
	if !o.remove() {
		return
	}
	o.c.queue.stopFlow(o.sendFlow, errCallCancelled)
	o.c.sendControl(wire.FrameCancel, &wire.CancelFrame{Call: o.id})
	o.refuse(wire.Refusal{Reason: reason, MayHaveRun: true}, err)
	o.c.closeIfDrained()
}

// refuse delivers the refusal, or truncates the answer if its head has already been delivered.
func (o *outboundCall) refuse(r wire.Refusal, err error) {
	select {
	case o.outcome <- Refused{Refusal: r}:
	default:
	}
	o.recvBuffer.discard(err)
}

// linkLost ends the call because its link has ended. The call may have run if its open frame was taken by the writer.
func (o *outboundCall) linkLost(err error) {
	o.c.queue.stopFlow(o.sendFlow, errCallEnded)
	o.c.queue.mu.Lock()
	openSent := o.openFrameEnd <= o.c.queue.urgentTaken
	o.c.queue.mu.Unlock()
	select {
	case o.outcome <- Refused{Refusal: wire.Refusal{Reason: wire.ReasonLinkLost, MayHaveRun: openSent}}:
	default:
	}
	o.recvBuffer.fail(&LostError{By: linkEnder(err), Cause: err})
}

// finishCall unregisters a call whose answer has arrived completely.
func (c *connection) finishCall(id uint64) {
	c.mu.Lock()
	o, ok := c.outboundCalls[id]
	delete(c.outboundCalls, id)
	c.mu.Unlock()
	if ok {
		c.queue.stopFlow(o.sendFlow, errCallEnded)
		c.closeIfDrained()
	}
}

func (c *connection) receiveReply(f wire.ReplyFrame) error {
	c.mu.Lock()
	o, ok := c.outboundCalls[f.Call]
	opened := f.Call > 0 && f.Call <= c.lastID
	duplicate := ok && o.replied
	if ok {
		o.replied = true
	}
	c.mu.Unlock()
	if !opened || duplicate {
		return protocolError(c.peer.Addr.String(), "reply to a call that was not opened or already has a reply")
	}
	if ok {
		if f.Head.BodyLength != 0 {
			o.recvBuffer.expectBody(f.Head.BodyLength)
		}
		select {
		case o.outcome <- Reply{Head: f.Head, Body: &replyReader{o: o}}:
		default:
		}
	}
	return nil
}

func (c *connection) receiveRefuse(f wire.RefuseFrame) error {
	c.mu.Lock()
	o, ok := c.outboundCalls[f.Call]
	opened := f.Call > 0 && f.Call <= c.lastID
	delete(c.outboundCalls, f.Call)
	c.mu.Unlock()
	if !opened {
		return protocolError(c.peer.Addr.String(), "refusal of a call that was not opened")
	}
	if ok {
		c.queue.stopFlow(o.sendFlow, errCallEnded)
		o.refuse(f.Refusal, io.ErrUnexpectedEOF)
		c.closeIfDrained()
	}
	return nil
}

// receiveGoaway stops new calls on the link and ends those that the peer has not accepted.
func (c *connection) receiveGoaway(f wire.GoawayFrame) {
	c.mu.Lock()
	c.closing = true
	var unacceptedCalls []*outboundCall
	for id, o := range c.outboundCalls {
		if id > f.Last {
			unacceptedCalls = append(unacceptedCalls, o)
			delete(c.outboundCalls, id)
		}
	}
	var unacceptedExchanges []*pendingExchange
	for id, e := range c.exchanges {
		if id > f.Last {
			unacceptedExchanges = append(unacceptedExchanges, e)
			delete(c.exchanges, id)
		}
	}
	c.mu.Unlock()
	for _, o := range unacceptedCalls {
		c.queue.stopFlow(o.sendFlow, errCallEnded)
		o.refuse(wire.Refusal{Reason: wire.ReasonLeaving}, io.ErrUnexpectedEOF)
	}
	for _, e := range unacceptedExchanges {
		e.fail(errLinkDrained)
	}
	c.pool.removeLink(c)
	c.closeIfDrained()
}

// awaitOutcome waits for the head of the answer, and cancels the call if ctx ends first.
func (o *outboundCall) awaitOutcome(ctx context.Context) Outcome {
	select {
	case out := <-o.outcome:
		return o.watchContext(ctx, out)
	case <-ctx.Done():
	}
	o.cancel(cancelReason(ctx), ctx.Err())
	return <-o.outcome
}

// watchContext cancels the call when ctx ends while its answer is still arriving.
func (o *outboundCall) watchContext(ctx context.Context, out Outcome) Outcome {
	if _, ok := out.(Reply); ok && !o.recvBuffer.isComplete() {
		o.stopWatch = context.AfterFunc(ctx, func() { o.cancel(cancelReason(ctx), ctx.Err()) })
	}
	return out
}

// cancelReason returns the refusal reason for an ended context.
func cancelReason(ctx context.Context) wire.RefusalReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return wire.ReasonTimeout
	}
	return wire.ReasonCancelled
}

// replyReader is the Body of a Reply.
type replyReader struct{ o *outboundCall }

// Read reads from the answer; see Reply for its errors.
func (r *replyReader) Read(p []byte) (int, error) { return r.o.recvBuffer.Read(p) }

// WriteTo copies the rest of the answer to w.
func (r *replyReader) WriteTo(w io.Writer) (int64, error) { return r.o.recvBuffer.WriteTo(w) }

// Close discards the rest of the answer.
func (r *replyReader) Close() error {
	if r.o.stopWatch != nil {
		r.o.stopWatch()
	}
	r.o.cancel(wire.ReasonCancelled, errCallCancelled)
	r.o.recvBuffer.discard(errCallCancelled)
	return nil
}
