package link

import (
	"context"
	"errors"
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// pendingExchange is a control message that this end has sent and that is not yet answered.
type pendingExchange struct {
	answer []byte
	done   chan struct{}
	err    error
}

// fail ends the exchange because its link has ended or is draining.
func (e *pendingExchange) fail(err error) {
	e.err = problem.Wrap(problem.Unavailable, err, "link", "message was not answered", "try another member")
	close(e.done)
}

// inboundMessage is a control message that is being received in fragments.
type inboundMessage struct {
	pool    *Pool
	kind    MessageKind
	payload []byte
}

// discard returns the memory of the payload to the budget.
func (m *inboundMessage) discard() { m.pool.memoryBudget.release(cap(m.payload)) }

// appendFragment appends p and returns false if the message is too large or the memory budget is used up.
func (m *inboundMessage) appendFragment(p []byte) bool {
	size := len(m.payload) + len(p)
	if size > maxMessageSize {
		return false
	}
	if size > cap(m.payload) {
		newCap := max(size, 2*cap(m.payload))
		if !m.pool.memoryBudget.tryAcquire(newCap) {
			return false
		}
		m.pool.memoryBudget.release(cap(m.payload))
		m.payload = append(make([]byte, 0, newCap), m.payload...)
	}
	m.payload = append(m.payload, p...)
	return true
}

// exchange sends a message and waits for its answer.
func (c *connection) exchange(ctx context.Context, kind MessageKind, payload []byte) ([]byte, error) {
	e := &pendingExchange{done: make(chan struct{})}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil, problem.New(problem.Unavailable, c.peer.Addr.String(), "link is closing", "try again")
	}
	c.lastID++
	id := c.lastID
	c.exchanges[id] = e
	c.mu.Unlock()
	defer c.removeExchange(id)
	// sendFragments does not watch ctx; without this, an expired message could keep a draining link open.
	stop := context.AfterFunc(ctx, func() { c.removeExchange(id) })
	defer stop()
	flow := c.queue.newMessageFlow()
	if err := c.sendFragments(flow, payload, func(p []byte, last bool) []byte {
		return appendFrame(nil, wire.FrameMessage, &wire.MessageFrame{ID: id, Kind: uint8(kind), Last: last, Payload: p})
	}); err != nil {
		return nil, problem.Wrap(problem.Unavailable, err, c.peer.Addr.String(), "message was not sent", "try another member")
	}
	select {
	case <-e.done:
		return e.answer, e.err
	case <-ctx.Done():
		return nil, problem.Wrap(problem.Unavailable, ctx.Err(), c.peer.Addr.String(), "message was not answered in time", "try another member")
	}
}

// removeExchange unregisters a message.
func (c *connection) removeExchange(id uint64) {
	c.mu.Lock()
	delete(c.exchanges, id)
	c.mu.Unlock()
	c.closeIfDrained()
}

// sendFragments queues a payload in frames, one at a time so that bodies take turns with them.
func (c *connection) sendFragments(f *sendFlow, payload []byte, frame func(p []byte, last bool) []byte) error {
	for {
		n := min(len(payload), chunkSize)
		b := frame(payload[:n], n == len(payload))
		if err := c.queue.sendMessage(f, b); err != nil {
			return err
		}
		c.pool.countBytes(wire.FrameMessage, directionSent, len(b))
		payload = payload[n:]
		if len(payload) == 0 {
			return nil
		}
	}
}

// receiveMessage reassembles a message and serves it when it is complete. Messages may arrive in
// another order than their IDs: calls, and messages of other senders, overtake one that waits for
// its turn on the link.
func (c *connection) receiveMessage(f wire.MessageFrame) error {
	c.mu.Lock()
	m, ok := c.partialMessages[f.ID]
	_, isRefused := c.refusedMessages[f.ID]
	isRefused = isRefused || !ok && c.closing && f.ID > c.lastID // the goaway frame covers one that calls have overtaken
	if isRefused {
		if f.Last {
			delete(c.refusedMessages, f.ID)
		}
		c.mu.Unlock()
		return nil
	}
	if !ok {
		c.lastID = max(c.lastID, f.ID)
		m = &inboundMessage{pool: c.pool, kind: MessageKind(f.Kind)}
	}
	delete(c.partialMessages, f.ID)
	atLimit := !ok && len(c.partialMessages)+c.servingMessages >= maxConcurrentMessages
	c.mu.Unlock()
	if atLimit || !m.appendFragment(f.Payload) {
		m.discard()
		c.sendAnswer(f.ID, wire.AnswerBusy, nil)
		return c.noteRefused(f)
	}
	if !f.Last {
		c.mu.Lock()
		c.partialMessages[f.ID] = m
		c.mu.Unlock()
		return nil
	}
	c.serveMessage(f.ID, m)
	return nil
}

// noteRefused remembers a refused message until its last fragment, so that the fragments to come are
// not taken for messages. It fails if the peer begins ever more messages without an end.
func (c *connection) noteRefused(f wire.MessageFrame) error {
	if f.Last {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refusedMessages) >= maxRefusedMessages {
		return protocolError(c.peer.Addr.String(), "too many messages without their last fragment")
	}
	c.refusedMessages[f.ID] = struct{}{}
	return nil
}

func (c *connection) serveMessage(id uint64, m *inboundMessage) {
	c.mu.Lock()
	c.servingMessages++
	c.mu.Unlock()
	err := c.pool.messageWorkers.Go(func() {
		defer c.finishMessage(m)
		c.answerMessage(id, m)
	})
	if err != nil {
		c.finishMessage(m)
		c.sendAnswer(id, wire.AnswerBusy, nil)
	}
}

// finishMessage records that a message is no longer being served and frees its payload.
func (c *connection) finishMessage(m *inboundMessage) {
	c.mu.Lock()
	c.servingMessages--
	c.mu.Unlock()
	m.discard()
}

func (c *connection) answerMessage(id uint64, m *inboundMessage) {
	if c.pool.Messages == nil {
		c.sendAnswer(id, wire.AnswerFailed, []byte("this daemon takes no messages"))
		return
	}
	answer, err := c.pool.Messages.ServeMessage(c.ctx, c.peer, m.kind, m.payload)
	switch {
	case errors.Is(err, problem.Busy):
		c.sendAnswer(id, wire.AnswerBusy, []byte(err.Error()))
	case err != nil:
		c.sendAnswer(id, wire.AnswerFailed, []byte(err.Error()))
	case len(answer) > maxMessageSize:
		c.sendAnswer(id, wire.AnswerFailed, fmt.Appendf(nil, "answer of %d bytes is over %d", len(answer), maxMessageSize))
	default:
		c.sendAnswer(id, wire.AnswerOK, answer)
	}
}

// sendAnswer sends an answer. A short one is queued with the control frames.
func (c *connection) sendAnswer(id uint64, failure wire.AnswerFailure, payload []byte) {
	if len(payload) <= maxUrgentPayload {
		c.sendControl(wire.FrameAnswer, &wire.AnswerFrame{ID: id, Failure: failure, Last: true, Payload: payload})
		return
	}
	_ = c.sendFragments(c.queue.newMessageFlow(), payload, func(p []byte, last bool) []byte {
		return appendFrame(nil, wire.FrameAnswer, &wire.AnswerFrame{ID: id, Failure: failure, Last: last, Payload: p})
	})
}

// receiveAnswer reassembles an answer. An answer to a message that is no longer awaited is dropped.
func (c *connection) receiveAnswer(f wire.AnswerFrame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.ID == 0 || f.ID > c.lastID {
		return protocolError(c.peer.Addr.String(), "answer to a message that was not sent")
	}
	e, ok := c.exchanges[f.ID]
	if !ok {
		return nil
	}
	if len(e.answer)+len(f.Payload) > maxMessageSize {
		return protocolError(c.peer.Addr.String(), fmt.Sprintf("answer exceeds %d bytes", maxMessageSize))
	}
	e.answer = append(e.answer, f.Payload...)
	if !f.Last {
		return nil
	}
	delete(c.exchanges, f.ID)
	e.err = answerError(c.peer, f.Failure, e.answer)
	close(e.done)
	return nil
}

func answerError(from Peer, failure wire.AnswerFailure, text []byte) error {
	switch failure {
	case wire.AnswerOK:
		return nil
	case wire.AnswerBusy:
		return problem.New(problem.Busy, from.Addr.String(), "message was refused: "+string(text), "try again later or ask another member")
	}
	return problem.New(problem.Unavailable, from.Addr.String(), "message failed: "+string(text), "try another member")
}
