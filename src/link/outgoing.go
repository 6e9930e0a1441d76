package link

import (
	"context"
	"errors"
	"io"

	"github.com/yuccaport/yuccaport/src/wire"
)

// outgoing is a call that this end has opened.
type outgoing struct {
	c       *connection
	id      uint64
	openEnd uint64 // position of the open frame's end among the urgent bytes
	result  chan Outcome
	inbox   *inbox
	flow    *flow
	replied bool // guarded by c.mu
	stop    func() bool
}

// open queues a call and registers it; a refusal tells why it was not opened.
func (c *connection) open(head wire.CallHead) (*outgoing, wire.RefusalReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, wire.ReasonLinkLost
	}
	o := &outgoing{c: c, id: c.lastID + 1, result: make(chan Outcome, 1), flow: c.out.newFlow()}
	o.inbox = newInbox(c.pool, o.grant)
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if c.out.err != nil {
		return nil, wire.ReasonLinkLost
	}
	if len(c.out.urgent) > busyUrgent {
		return nil, wire.ReasonLimit
	}
	before := c.out.queued
	end, err := c.out.head(wire.FrameOpen, &wire.OpenFrame{Call: o.id, Head: head})
	if err != nil {
		return nil, wire.ReasonLimit
	}
	c.pool.countBytes(wire.FrameOpen, sent, int(end-before))
	o.openEnd = end
	c.lastID = o.id
	c.outgoing[o.id] = o
	c.out.work.Signal()
	return o, wire.ReasonNone
}

func (o *outgoing) grant(add uint32) {
	o.c.control(wire.FrameWindow, &wire.WindowFrame{Call: o.id, Add: add})
}

// remove forgets the call and tells whether it was still under way.
func (o *outgoing) remove() bool {
	o.c.mu.Lock()
	_, ok := o.c.outgoing[o.id]
	delete(o.c.outgoing, o.id)
	o.c.mu.Unlock()
	return ok
}

// startBody sends a short body that is in memory at once, and any other from a goroutine of its own.
func (o *outgoing) startBody(body io.Reader) {
	if m, ok := body.(interface{ Len() int }); ok && m.Len() <= inlineBody {
		o.sendBody(body)
		return
	}
	go o.sendBody(body)
}

// sendBody sends the request body; a reader that fails gives the call up.
func (o *outgoing) sendBody(body io.Reader) {
	chunk := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(chunk)
	buf := chunk[:]
	for {
		n, err := body.Read(buf)
		if n > 0 && o.write(buf[:n]) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = o.c.out.end(o.flow, o.id)
			return
		}
		if err != nil {
			o.giveUp(wire.ReasonCancelled, err)
			return
		}
	}
}

func (o *outgoing) write(p []byte) error {
	err := o.c.out.send(o.flow, o.id, p)
	if err == nil {
		o.c.pool.countBytes(wire.FrameData, sent, len(p)+headerSize)
	}
	return err
}

// giveUp cancels the call at the other end.
func (o *outgoing) giveUp(reason wire.RefusalReason, err error) {
	if !o.remove() {
		return
	}
	o.c.out.stop(o.flow, errAbandoned)
	o.c.control(wire.FrameCancel, &wire.CancelFrame{Call: o.id})
	o.settle(wire.Refusal{Reason: reason, MayHaveRun: true}, err)
	o.c.closeIfDone()
}

// settle delivers the refusal, or cuts the body when the head of the answer was already there.
func (o *outgoing) settle(r wire.Refusal, err error) {
	select {
	case o.result <- Refused{Refusal: r}:
	default:
	}
	o.inbox.drop(err)
}

// lost ends the call because its link has ended.
func (o *outgoing) lost(error) {
	o.c.out.stop(o.flow, errEnded)
	o.c.out.mu.Lock()
	handed := o.openEnd <= o.c.out.handed
	o.c.out.mu.Unlock()
	select {
	case o.result <- Refused{Refusal: wire.Refusal{Reason: wire.ReasonLinkLost, MayHaveRun: handed}}:
	default:
	}
	o.inbox.cut(io.ErrUnexpectedEOF)
}

// ended removes a call whose answer has arrived whole.
func (c *connection) ended(id uint64) {
	c.mu.Lock()
	o, ok := c.outgoing[id]
	delete(c.outgoing, id)
	c.mu.Unlock()
	if ok {
		c.out.stop(o.flow, errEnded)
		c.closeIfDone()
	}
}

func (c *connection) receiveReply(f wire.ReplyFrame) error {
	c.mu.Lock()
	o, ok := c.outgoing[f.Call]
	known := f.Call > 0 && f.Call <= c.lastID
	again := ok && o.replied
	if ok {
		o.replied = true
	}
	c.mu.Unlock()
	if !known || again {
		return protocolError(c.peer.Addr.String(), "reply to a call that was never opened or is already replied to")
	}
	if ok {
		if f.Head.BodyLength != 0 {
			o.inbox.expect(f.Head.BodyLength)
		}
		select {
		case o.result <- Reply{Head: f.Head, Body: &answer{o: o}}:
		default:
		}
	}
	return nil
}

func (c *connection) receiveRefuse(f wire.RefuseFrame) error {
	c.mu.Lock()
	o, ok := c.outgoing[f.Call]
	known := f.Call > 0 && f.Call <= c.lastID
	delete(c.outgoing, f.Call)
	c.mu.Unlock()
	if !known {
		return protocolError(c.peer.Addr.String(), "refusal of a call that was never opened")
	}
	if ok {
		c.out.stop(o.flow, errEnded)
		o.settle(f.Refusal, io.ErrUnexpectedEOF)
		c.closeIfDone()
	}
	return nil
}

// receiveGoaway stops new calls and ends those that the other end has not taken.
func (c *connection) receiveGoaway(f wire.GoawayFrame) {
	c.mu.Lock()
	c.closing = true
	var untaken []*outgoing
	for id, o := range c.outgoing {
		if id > f.Last {
			untaken = append(untaken, o)
			delete(c.outgoing, id)
		}
	}
	var unasked []*question
	for id, q := range c.asked {
		if id > f.Last {
			unasked = append(unasked, q)
			delete(c.asked, id)
		}
	}
	c.mu.Unlock()
	for _, o := range untaken {
		c.out.stop(o.flow, errEnded)
		o.settle(wire.Refusal{Reason: wire.ReasonLeaving}, io.ErrUnexpectedEOF)
	}
	for _, q := range unasked {
		q.fail(errLeft)
	}
	c.pool.forget(c)
	c.closeIfDone()
}

// await waits for the head of the answer.
func (o *outgoing) await(ctx context.Context) Outcome {
	select {
	case out := <-o.result:
		return o.delivered(ctx, out)
	case <-ctx.Done():
	}
	o.giveUp(reasonOf(ctx), ctx.Err())
	return <-o.result
}

// delivered keeps the context's hold on the call while its answer is still arriving.
func (o *outgoing) delivered(ctx context.Context, out Outcome) Outcome {
	if _, ok := out.(Reply); ok && !o.inbox.whole() {
		o.stop = context.AfterFunc(ctx, func() { o.giveUp(reasonOf(ctx), ctx.Err()) })
	}
	return out
}

func reasonOf(ctx context.Context) wire.RefusalReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return wire.ReasonTimeout
	}
	return wire.ReasonCancelled
}

// answer is the body of a reply.
type answer struct{ o *outgoing }

// Read reads the body; it returns io.ErrUnexpectedEOF when the answer was cut.
func (a *answer) Read(p []byte) (int, error) { return a.o.inbox.Read(p) }

// WriteTo copies the rest of the answer to w.
func (a *answer) WriteTo(w io.Writer) (int64, error) { return a.o.inbox.WriteTo(w) }

// Close drops the rest of the answer.
func (a *answer) Close() error {
	if a.o.stop != nil {
		a.o.stop()
	}
	a.o.giveUp(wire.ReasonCancelled, errAbandoned)
	a.o.inbox.drop(errAbandoned)
	return nil
}
