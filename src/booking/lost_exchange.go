package booking

import (
	"context"
	"errors"
)

// errLost is the cause of the end of an exchange whose answer seems lost and whose caller's daemon
// takes no doubt.
var errLost = errors.New("the backend server has ended the request without an answer")

// isLost reports whether the exchange was ended because its answer seems lost.
func (x *exchange) isLost() bool { return errors.Is(context.Cause(x.ctx), errLost) }

// recordAnswer records that the head of an answer has arrived, after which the call cannot be lost,
// and passes the number of requests that the backend server runs to the core.
func (s *Server) recordAnswer(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.answering = true
	x.doubted.Store(false)
	if s.Headers.Load == "" {
		return
	}
	n, ok := parseRunning(x.resp.Header.Peek(s.Headers.Load))
	if ok && (s.instance == "" || x.instance == s.instance) {
		s.stepLocked(Reported{Answered: x.call, Running: n})
	}
}

// doubtRunLocked tells the caller's daemon that the answer of a call seems lost, if it may run
// again, so that it is tried elsewhere in time. The run goes on, since its answer may still come: it
// may be slow, and another one be lost. s.mu must be held.
func (s *Server) doubtRunLocked(call uint64) {
	s.counters.lost.Inc()
	for x := range s.runs {
		if x.call != call || x.answering || x.conn.hasUnread() {
			continue // its answer has arrived, and this process has been late to read it
		}
		s.callLog(x.head.Tenant).Info("answer lost", "reason", "the backend server seems to have ended the request", "request_id", x.head.TraceID, "route", x.head.Route, "instance", x.instance, "held_ms", s.Now().Sub(x.admitted).Milliseconds(), "repeatable", x.head.Idempotent)
		if !x.head.Idempotent {
			continue
		}
		x.doubted.Store(true)
		if !x.in.Doubt() && !s.core.drainRequested { // a daemon that stops owes the answer
			x.lose(errLost)
		}
	}
}
