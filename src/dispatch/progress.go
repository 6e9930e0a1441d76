package dispatch

import (
	"sync"

	"github.com/yuccaport/yuccaport/src/cut"
)

// progress is how far one request of a caller has come, for logs and metrics. A nil progress records nothing.
type progress struct {
	conn          *callerConn
	writtenBefore int64 // bytes written to the connection before

	mu       sync.Mutex
	request  cut.Request
	streamed bool // its answer is passed on while it arrives
	ended    bool // written, or recorded as cut
	written  bool // the whole answer has been written
}

// begin sets the ID and route once the route is known.
func (p *progress) begin(id, route string) {
	p.update(func(q *cut.Request) { q.ID, q.Route, q.State = id, route, cut.Queued })
}

// advance sets the state.
func (p *progress) advance(s cut.State) { p.update(func(q *cut.Request) { q.State = s }) }

// setStatus sets the status that the caller gets.
func (p *progress) setStatus(status int) { p.update(func(q *cut.Request) { q.Status = status }) }

// answer records that an answer with a body of so many bytes, -1 if unknown, is being passed on.
func (p *progress) answer(status int, size int64, streamed bool) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.request.State, p.request.Status, p.request.Missing, p.streamed = cut.AnswerStreaming, status, 0, streamed
	if streamed {
		p.request.Missing = max(size, -1)
	}
}

// setMissing sets how many bytes of the answer's body have not been read yet.
func (p *progress) setMissing(n int64) {
	p.update(func(q *cut.Request) { q.Missing = n })
}

func (p *progress) update(set func(*cut.Request)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	set(&p.request)
}

// end marks the request ended and returns it; ok is false if it had ended before.
func (p *progress) end() (q cut.Request, streamed, ok bool) {
	if p == nil {
		return q, false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ok, p.ended = !p.ended, true
	q = p.request
	q.Written = p.conn.written.Load() - p.writtenBefore
	return q, p.streamed, ok
}

// cut records that the request ends here without its whole answer, unless it has ended before.
func (p *progress) cut(by cut.Ender, reason string) {
	q, _, ok := p.end()
	if !ok {
		return
	}
	q.By, q.Reason, q.Unacked = by, reason, p.conn.unacked()
	p.conn.cuts.Record(q)
}

// complete records that the whole answer has been written.
func (p *progress) complete() {
	q, streamed, ok := p.end()
	if !ok {
		return
	}
	p.mu.Lock()
	p.written = true
	p.mu.Unlock()
	if streamed {
		s := p.conn.cuts
		s.WithSignal(s.Log).Info("answer ended", "request_id", q.ID, "route", q.Route, "status", q.Status, "written_bytes", q.Written)
	}
}

// cutWritten records that the connection is reset before the caller has acknowledged the whole answer.
func (p *progress) cutWritten(by cut.Ender) {
	if p == nil {
		return
	}
	p.mu.Lock()
	q, written := p.request, p.written
	p.mu.Unlock()
	if q.Unacked = p.conn.unacked(); written && q.Unacked > 0 {
		q.State, q.By, q.Written, q.Missing = cut.AnswerWritten, by, p.conn.written.Load()-p.writtenBefore, 0
		p.conn.cuts.Record(q)
	}
}
