package link

import (
	"context"
	"errors"
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// question is a control message that this end has sent and whose answer it awaits.
type question struct {
	answer []byte
	done   chan struct{}
	err    error
}

func (q *question) fail(err error) {
	q.err = problem.Wrap(problem.Unavailable, err, "link", "message was not answered", "try another member")
	close(q.done)
}

// statement is a control message that is arriving in pieces.
type statement struct {
	pool    *Pool
	kind    MessageKind
	payload []byte
}

func (s *statement) drop() { s.pool.memory.give(cap(s.payload)) }

// add appends a piece and tells whether memory allows it.
func (s *statement) add(p []byte) bool {
	need := len(s.payload) + len(p)
	if need > maxMessage {
		return false
	}
	if need > cap(s.payload) {
		grown := max(need, 2*cap(s.payload))
		if !s.pool.memory.take(grown) {
			return false
		}
		s.pool.memory.give(cap(s.payload))
		s.payload = append(make([]byte, 0, grown), s.payload...)
	}
	s.payload = append(s.payload, p...)
	return true
}

// ask sends a message and waits for its answer.
func (c *connection) ask(ctx context.Context, kind MessageKind, payload []byte) ([]byte, error) {
	q := &question{done: make(chan struct{})}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil, problem.New(problem.Unavailable, c.peer.Addr.String(), "link is closing", "try again")
	}
	c.lastID++
	id := c.lastID
	c.asked[id] = q
	c.mu.Unlock()
	defer c.withdraw(id)
	stop := context.AfterFunc(ctx, func() { c.withdraw(id) })
	defer stop()
	flow := c.out.newFlow()
	if err := c.pieces(flow, payload, func(p []byte, last bool) []byte {
		return appendFrame(nil, wire.FrameMessage, &wire.MessageFrame{ID: id, Kind: uint8(kind), Last: last, Payload: p})
	}); err != nil {
		return nil, problem.Wrap(problem.Unavailable, err, c.peer.Addr.String(), "message was not sent", "try another member")
	}
	select {
	case <-q.done:
		return q.answer, q.err
	case <-ctx.Done():
		return nil, problem.Wrap(problem.Unavailable, ctx.Err(), c.peer.Addr.String(), "message was not answered in time", "try another member")
	}
}

// withdraw forgets a message.
func (c *connection) withdraw(id uint64) {
	c.mu.Lock()
	delete(c.asked, id)
	c.mu.Unlock()
	c.closeIfDone()
}

// pieces queues a payload as frames in the bulk lane, one at a time.
func (c *connection) pieces(f *flow, payload []byte, frame func(p []byte, last bool) []byte) error {
	for {
		n := min(len(payload), chunkSize)
		b := frame(payload[:n], n == len(payload))
		if err := c.out.message(f, b); err != nil {
			return err
		}
		c.pool.countBytes(wire.FrameMessage, sent, len(b))
		payload = payload[n:]
		if len(payload) == 0 {
			return nil
		}
	}
}

// receiveMessage gathers a message and serves it when it is whole.
func (c *connection) receiveMessage(f wire.MessageFrame) error {
	c.mu.Lock()
	s, ok := c.partial[f.ID]
	if !ok && f.ID <= c.lastID {
		c.mu.Unlock()
		return nil // refused before its last piece
	}
	if !ok && c.closing {
		c.mu.Unlock()
		return nil
	}
	if !ok {
		c.lastID = f.ID
		s = &statement{pool: c.pool, kind: MessageKind(f.Kind)}
	}
	delete(c.partial, f.ID)
	full := !ok && len(c.partial)+c.serving >= maxMessages
	c.mu.Unlock()
	if full || !s.add(f.Payload) {
		s.drop()
		c.respond(f.ID, wire.AnswerBusy, nil)
		return nil
	}
	if !f.Last {
		c.mu.Lock()
		c.partial[f.ID] = s
		c.mu.Unlock()
		return nil
	}
	c.serveMessage(f.ID, s)
	return nil
}

func (c *connection) serveMessage(id uint64, s *statement) {
	c.mu.Lock()
	c.serving++
	c.mu.Unlock()
	err := c.pool.messageWorkers.Go(func() {
		defer c.served(s)
		c.answerMessage(id, s)
	})
	if err != nil {
		c.served(s)
		c.respond(id, wire.AnswerBusy, nil)
	}
}

func (c *connection) served(s *statement) {
	c.mu.Lock()
	c.serving--
	c.mu.Unlock()
	s.drop()
}

func (c *connection) answerMessage(id uint64, s *statement) {
	if c.pool.Messages == nil {
		c.respond(id, wire.AnswerFailed, []byte("this daemon takes no messages"))
		return
	}
	answer, err := c.pool.Messages.ServeMessage(c.ctx, c.peer, s.kind, s.payload)
	switch {
	case errors.Is(err, problem.Busy):
		c.respond(id, wire.AnswerBusy, []byte(err.Error()))
	case err != nil:
		c.respond(id, wire.AnswerFailed, []byte(err.Error()))
	case len(answer) > maxMessage:
		c.respond(id, wire.AnswerFailed, fmt.Appendf(nil, "answer of %d bytes is over %d", len(answer), maxMessage))
	default:
		c.respond(id, wire.AnswerOK, answer)
	}
}

// respond sends an answer; a short one goes with the control frames.
func (c *connection) respond(id uint64, failure wire.AnswerFailure, payload []byte) {
	if len(payload) <= inlineBody {
		c.control(wire.FrameAnswer, &wire.AnswerFrame{ID: id, Failure: failure, Last: true, Payload: payload})
		return
	}
	_ = c.pieces(c.out.newFlow(), payload, func(p []byte, last bool) []byte {
		return appendFrame(nil, wire.FrameAnswer, &wire.AnswerFrame{ID: id, Failure: failure, Last: last, Payload: p})
	})
}

// receiveAnswer gathers an answer; one that nobody awaits is dropped.
func (c *connection) receiveAnswer(f wire.AnswerFrame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.ID == 0 || f.ID > c.lastID {
		return protocolError(c.peer.Addr.String(), "answer to a message that was never sent")
	}
	q, ok := c.asked[f.ID]
	if !ok {
		return nil
	}
	if len(q.answer)+len(f.Payload) > maxMessage {
		return protocolError(c.peer.Addr.String(), fmt.Sprintf("answer is over %d bytes", maxMessage))
	}
	q.answer = append(q.answer, f.Payload...)
	if !f.Last {
		return nil
	}
	delete(c.asked, f.ID)
	q.err = answerError(c.peer, f.Failure, q.answer)
	close(q.done)
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
