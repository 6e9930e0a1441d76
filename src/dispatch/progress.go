package dispatch

import (
	"cmp"
	"os"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/cut"
)

// progress is how far one request of a caller has come, for logs and metrics. A nil progress records nothing.
type progress struct {
	conn          *callerConn
	began         time.Time
	writtenBefore int64 // bytes written to the connection before

	mu       sync.Mutex
	request  cut.Request
	streamed bool // its answer is passed on while it arrives
	ended    bool // counted
	written  bool // the whole answer has been written
	atServer bool // it ended while a backend server was at work on it
}

// begin sets the ID and route once the route is known.
func (p *progress) begin(id, route string) {
	p.update(func(q *cut.Request) { q.ID, q.Route, q.State = id, route, cut.Queued })
}

// send records that the request is sent to a member.
func (p *progress) send() {
	p.update(func(q *cut.Request) { q.State, q.Sent = cut.Sent, true })
}

// advance sets the state, unless an answer is being written: an attempt that was dropped may still get its own.
func (p *progress) advance(s cut.State) {
	p.update(func(q *cut.Request) {
		if q.Answer == cut.EndUnknown {
			q.State = s
		}
	})
}

// answerFromServer records that an answer with a body of so many bytes, -1 if unknown, is being passed on.
func (p *progress) answerFromServer(status int, size int64, streamed bool) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &p.request
	q.State, q.Status, q.Missing, q.Answer, p.streamed = cut.AnswerStreaming, status, 0, endOfAnswer(status), streamed
	if streamed {
		q.Missing = max(size, -1)
	}
}

// answerFromProxy records that the proxy answers by itself.
func (p *progress) answerFromProxy(status int, end cut.End) {
	p.update(func(q *cut.Request) { q.Status, q.Answer, q.By = status, end, cut.Refusal })
}

// refusedBy sets who ended a request that the proxy answers by itself.
func (p *progress) refusedBy(by cut.Ender, reason string) {
	p.update(func(q *cut.Request) { q.By, q.Reason = by, reason })
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

// end counts the request with the values that set gives it, and logs it if its end is such that it has no other line.
// It reports false if the request had ended before.
func (p *progress) end(set func(*cut.Request)) (cut.Request, bool) {
	if p == nil {
		return cut.Request{}, false
	}
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return cut.Request{}, false
	}
	p.ended = true
	q := p.request
	q.Written, q.Took = p.conn.written.Load()-p.writtenBefore, time.Since(p.began)
	set(&q)
	p.written = q.End == q.Answer
	p.atServer = !p.written && q.Sent && (q.Answer == cut.EndUnknown || p.streamed && q.Missing != 0)
	p.request.By = q.By
	p.mu.Unlock()
	p.conn.cuts.ends.Count(q, p.conn.cuts.Stopping())
	if q.End.IsLogged() {
		p.conn.cuts.Record(q)
	}
	return q, true
}

// cut records that the request ends here without its whole answer, unless it has ended before. The error may be nil.
func (p *progress) cut(by cut.Ender, err error) {
	p.end(func(q *cut.Request) {
		q.End, q.By, q.Reason, q.Unacked = endOfCut(by, err), by, "", p.conn.unacked()
		if err != nil {
			q.Reason = err.Error()
		}
	})
}

// complete records that the whole answer has been written.
func (p *progress) complete() {
	q, ok := p.end(func(q *cut.Request) { q.End = q.Answer })
	if ok && p.isStreamed() {
		s := p.conn.cuts
		s.WithSignal(s.Log).Info("answer ended", "request_id", q.ID, "route", q.Route, "status", q.Status, "written_bytes", q.Written)
	}
}

func (p *progress) isStreamed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streamed
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

// isUnflushed reports whether nothing has been written to the connection since the request was read.
func (p *progress) isUnflushed() bool { return p != nil && p.conn.written.Load() == p.writtenBefore }

// endedBy returns who ended the request, or otherwise the given one.
func (p *progress) endedBy(otherwise cut.Ender) cut.Ender {
	if p == nil {
		return otherwise
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.request.By, otherwise)
}

// wasAtServer reports whether the request ended while a backend server was at work on it.
func (p *progress) wasAtServer() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.atServer
}

// endOfAnswer returns the end of a request that gets the answer of a backend server.
func endOfAnswer(status int) cut.End {
	if status >= 500 {
		return cut.EndServerFailure
	}
	return cut.EndAnswered
}

// endOfCut returns the end of a request that gets no whole answer.
func endOfCut(by cut.Ender, err error) cut.End {
	switch {
	case by == cut.Caller && os.IsTimeout(err):
		return cut.EndStalled
	case by == cut.Caller:
		return cut.EndCallerLeft
	case by == cut.Parent:
		return cut.EndParent
	case by == cut.Timeout:
		return cut.EndTimeout
	}
	return cut.EndCut
}
