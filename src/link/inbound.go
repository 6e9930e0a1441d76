package link

import (
	"context"
	"io"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// inbound is a call that the other end has opened.
type inbound struct {
	c      *connection
	id     uint64
	call   wire.CallHead
	inbox  *inbox
	flow   *flow
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer // ends the call when no answer has begun in time; nil without a timeout
}

// receiveOpen admits a call or refuses it as not run.
func (c *connection) receiveOpen(f wire.OpenFrame) error {
	c.mu.Lock()
	if f.Call <= c.lastID {
		c.mu.Unlock()
		return protocolError(c.peer.Addr.String(), "a call id came twice")
	}
	if c.closing { // beyond the goaway: the other end knows that it is not taken
		c.mu.Unlock()
		return nil
	}
	c.lastID = f.Call
	full := len(c.inbound) >= c.pool.limits.CallsPerLink
	c.mu.Unlock()
	switch {
	case c.pool.Calls == nil:
		c.refuse(f.Call, wire.ReasonNotReady)
	case full || !c.pool.calls.take(1):
		c.refuse(f.Call, wire.ReasonLimit)
	default:
		c.serve(f)
	}
	return nil
}

func (c *connection) refuse(id uint64, reason wire.RefusalReason) {
	c.control(wire.FrameRefuse, &wire.RefuseFrame{Call: id, Refusal: wire.Refusal{Reason: reason}})
}

func (c *connection) serve(f wire.OpenFrame) {
	in := &inbound{c: c, id: f.Call, call: f.Head, flow: c.out.newFlow()}
	in.inbox = newInbox(c.pool, in.grant)
	if f.Head.BodyLength == 0 {
		in.inbox.ended = true
	} else {
		in.inbox.expect(f.Head.BodyLength)
	}
	in.ctx, in.cancel = context.WithCancelCause(c.ctx)
	if f.Head.TimeoutMS > 0 {
		d := time.Duration(f.Head.TimeoutMS) * time.Millisecond
		in.timer = time.AfterFunc(d, in.expire)
	}
	c.mu.Lock()
	c.inbound[in.id] = in
	c.mu.Unlock()
	if c.pool.callWorkers.Go(in.run) != nil {
		in.Refuse(wire.Refusal{Reason: wire.ReasonLimit})
		in.release()
	}
}

// run serves the call and makes sure that it gets an end.
func (in *inbound) run() {
	defer in.release()
	defer in.Refuse(wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true})
	in.c.pool.Calls.ServeCall(in.ctx, in)
}

func (in *inbound) release() {
	in.cancel(errEnded)
	in.stopTimer()
	in.inbox.drop(errEnded)
	in.c.pool.calls.give(1)
}

// expire ends a call that has not begun to be answered in time, also where its request body is awaited.
func (in *inbound) expire() {
	in.cancel(context.DeadlineExceeded)
	in.inbox.cut(context.DeadlineExceeded)
}

// stopTimer lets an answer that has begun take the time that its reader needs.
func (in *inbound) stopTimer() {
	if in.timer != nil {
		in.timer.Stop()
	}
}

func (in *inbound) grant(add uint32) {
	in.c.control(wire.FrameWindow, &wire.WindowFrame{Call: in.id, Add: add})
}

// Head returns the call's head.
func (in *inbound) Head() wire.CallHead { return in.call }

// Body returns the request body.
func (in *inbound) Body() io.Reader { return in.inbox }

// Reply sends the head of the answer and returns where its body is written.
func (in *inbound) Reply(h wire.ReplyHead) (io.WriteCloser, error) {
	in.stopTimer()
	o := &in.c.out
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.awaitRoom(in.flow); err != nil {
		return nil, err
	}
	before := o.queued
	end, err := o.head(wire.FrameReply, &wire.ReplyFrame{Call: in.id, Head: h})
	if err != nil {
		return nil, err
	}
	in.c.pool.countBytes(wire.FrameReply, sent, int(end-before))
	if h.BodyLength < 0 || h.BodyLength > inlineBody {
		o.work.Signal() // a short body follows at once and leaves with its head
	}
	return &replyBody{in: in}, nil
}

// Refuse ends the call without an answer.
func (in *inbound) Refuse(r wire.Refusal) {
	if !in.remove() {
		return
	}
	in.c.out.stop(in.flow, errEnded)
	in.c.control(wire.FrameRefuse, &wire.RefuseFrame{Call: in.id, Refusal: r})
}

// remove forgets the call and tells whether it was still under way.
func (in *inbound) remove() bool {
	in.c.mu.Lock()
	_, ok := in.c.inbound[in.id]
	delete(in.c.inbound, in.id)
	in.c.mu.Unlock()
	return ok
}

// abandon ends the call without telling the other end.
func (in *inbound) abandon(err error) {
	in.c.out.stop(in.flow, err)
	in.inbox.cut(io.ErrUnexpectedEOF)
	in.cancel(err)
}

func (c *connection) receiveCancel(f wire.CancelFrame) {
	c.mu.Lock()
	in, ok := c.inbound[f.Call]
	delete(c.inbound, f.Call)
	c.mu.Unlock()
	if ok {
		in.abandon(errAbandoned)
	}
}

// replyBody is where the body of an answer is written.
type replyBody struct{ in *inbound }

// Write sends a piece of the body, waiting while the other end does not read.
func (w *replyBody) Write(p []byte) (int, error) {
	if err := w.in.c.out.send(w.in.flow, w.in.id, p); err != nil {
		return 0, err
	}
	w.in.c.pool.countBytes(wire.FrameData, sent, len(p)+headerSize)
	return len(p), nil
}

// Close ends a whole answer.
func (w *replyBody) Close() error {
	in := w.in
	err := in.c.out.end(in.flow, in.id)
	if in.remove() {
		in.c.out.stop(in.flow, errEnded)
	}
	return err
}
