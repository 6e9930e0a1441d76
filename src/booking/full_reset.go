package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// crashCloseTime is how long after the first connection of a crashed process its other ones may
	// still seem open.
	crashCloseTime = 20 * time.Millisecond
	// fullShare is the share of the limit in use from which a reset may mean that the server is
	// full; with fewer calls it is a fault.
	fullShare = 0.5
)

// resetHold is how long the limit does not rise after a reset by a full server, so that finding out
// whether it accepts more costs at most one request in this time.
const resetHold = 2 * time.Second

// lowerToAccepted lowers the limit to the calls that a full server goes on running, which are what
// it has accepted.
func (c *Core) lowerToAccepted(now time.Time) {
	c.limit, c.successes, c.holdUntil = max(1, min(c.limit, len(c.running))), 0, now.Add(resetHold)
}

// isFullReset reports whether the backend server, which ResetsWhenFull, has reset the connection of
// x because it is full:
// it sent no byte of an answer, accepts new connections, goes on running other calls, and runs
// many. The request may have run all the same.
//
// Such a reset says nothing of the request, so that it is no reason to suspect it of a crash, nor
// does it show that the server fails.
func (s *Server) isFullReset(x *exchange) bool {
	if !s.ResetsWhenFull || x.conn.resetErr == nil || x.conn.overhead > 0 {
		return false
	}
	s.mu.Lock()
	isBusy := float64(s.core.InFlight()) >= max(2, fullShare*float64(s.core.limit))
	s.mu.Unlock()
	if !isBusy || !s.hasOtherRun(x) {
		return false
	}
	time.Sleep(crashCloseTime)
	return s.hasOtherRun(x)
}

// hasOtherRun reports whether the backend server runs a call that was admitted before x was cut and
// whose connection it has not closed, or has answered one since x was cut.
func (s *Server) hasOtherRun(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.health.lastAnswer.After(x.cutAt) {
		return true
	}
	for other := range s.runs {
		if other != x && other.instance == x.instance && other.cutAt.IsZero() && !other.admitted.After(x.cutAt) {
			return true
		}
	}
	return false
}

// fullRefusal returns the refusal of a call whose connection a full server has reset. Its reason is
// not one that counts as a failure of the server.
func (s *Server) fullRefusal() wire.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	return wire.Refusal{Reason: wire.ReasonLimit, MayHaveRun: true, RetryAfterMS: retryAfter(s.core.meanWaitBehind(now, s.core.queue.size)).Milliseconds()}
}

// countFullReset counts and logs a reset by a full server.
func (s *Server) countFullReset(x *exchange) {
	s.counters.fullResets.Inc()
	s.callLog(x.head.Tenant).Info("backend server reset a connection", "reason", "full", "instance", x.instance, "request_id", x.head.TraceID, "route", x.head.Route, "running", s.InFlight())
}
