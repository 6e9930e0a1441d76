package link

import (
	"errors"
	"net"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/yuccaport/yuccaport/src/cut"
)

// StopBegan tells the Pool when a planned stop began, for its logs and metrics.
func (p *Pool) StopBegan(at time.Time) {
	p.init()
	p.cuts.StopBegan(at)
}

const maxSentAnswers = 256 // kept for each link; the oldest are forgotten

// sentAnswer is a call whose answer is complete in the send queue of its link, or taken from it.
type sentAnswer struct {
	id, route string
	bytes     int64
	end       uint64 // position of its end in the stream of urgent bytes
	takenAt   int64  // position of its end in the stream of all bytes, 0 before it is taken by the writer
}

// recordCuts records the calls that are in progress, or whose answers the peer has not acknowledged, when the link is closed.
func (c *connection) recordCuts(err error) {
	unacked := c.unacked()
	for _, q := range c.unfinished(c.written.Load() - int64(unacked)) {
		q.By, q.Reason, q.Unacked = linkEnder(err), err.Error(), unacked
		c.pool.cuts.Record(q)
	}
}

// unfinished returns the calls whose answers have not been acknowledged, where the peer has acknowledged the given number of bytes.
func (c *connection) unfinished(acked int64) []cut.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.mu.Lock()
	defer c.queue.mu.Unlock()
	var out []cut.Request
	for _, o := range c.outboundCalls {
		out = append(out, o.request())
	}
	for _, in := range c.inboundCalls {
		out = append(out, in.request())
	}
	for _, a := range c.queue.sentAnswers {
		if !a.isAcked(acked) {
			out = append(out, cut.Request{ID: a.id, Route: a.route, State: cut.AnswerWritten, Written: a.bytes})
		}
	}
	return out
}

// request describes the call; c.mu must be held.
func (o *outboundCall) request() cut.Request {
	q := cut.Request{ID: o.traceID, Route: o.route, State: cut.Sent, Missing: -1}
	if o.replied {
		q.State = cut.AnswerArriving
	}
	return q
}

// request describes the call; the mutex of the link's send queue must be held.
func (in *inboundCall) request() cut.Request {
	q := cut.Request{ID: in.head.TraceID, Route: in.head.Route, State: cut.Running, Written: in.sendFlow.sent, Missing: -1}
	switch {
	case in.replied:
		q.State, q.Status = cut.AnswerStreaming, int(in.replyHead.Status)
		if in.replyHead.BodyLength >= 0 {
			q.Missing = in.replyHead.BodyLength - q.Written
		}
	case !in.recvBuffer.isComplete():
		q.State = cut.Body
	}
	return q
}

// recordSent notes that the answer is complete in the send queue.
func (in *inboundCall) recordSent() {
	q := &in.c.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.sentAnswers) >= maxSentAnswers {
		q.sentAnswers = q.sentAnswers[:copy(q.sentAnswers, q.sentAnswers[1:])]
	}
	q.sentAnswers = append(q.sentAnswers, sentAnswer{id: in.head.TraceID, route: in.head.Route, bytes: in.sendFlow.sent, end: q.urgentQueued})
}

// noteTaken notes that the writer has taken n bytes, and with them all urgent ones; q.mu must be held.
func (q *sendQueue) noteTaken(n int) {
	q.taken += int64(n)
	for i := len(q.sentAnswers) - 1; i >= 0 && q.sentAnswers[i].takenAt == 0; i-- {
		q.sentAnswers[i].takenAt = q.taken
	}
}

// forgetAcked forgets the answers that the peer's host has acknowledged.
func (c *connection) forgetAcked() {
	acked := c.written.Load() - int64(c.unacked())
	c.queue.mu.Lock()
	defer c.queue.mu.Unlock()
	c.queue.sentAnswers = slices.DeleteFunc(c.queue.sentAnswers, func(a sentAnswer) bool { return a.isAcked(acked) })
}

func (a *sentAnswer) isAcked(acked int64) bool { return a.takenAt != 0 && a.takenAt <= acked }

// unacked returns the bytes on the link that the peer's host has not acknowledged, 0 if unknown.
func (c *connection) unacked() int {
	tc, ok := c.nc.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	ctrlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if errors.Join(err, ctrlErr) != nil {
		return 0
	}
	return n
}
