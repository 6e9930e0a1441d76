package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/wire"
)

// sendMargin is the time for a request to reach the backend server once it is sent.
const sendMargin = 100 * time.Millisecond

// LeaveWithin starts the leave of the backend server, which may end once d has passed. New calls are
// refused at once, and no request that waits is sent to it later. Requests that it runs are not cut.
// A second leave cannot postpone the first.
func (s *Server) LeaveWithin(d time.Duration) {
	s.init()
	within := max(0, d-sendMargin)
	s.mu.Lock()
	isFirst := s.leaveBy.IsZero()
	if by := clock.NowWithSuspension().Add(within); isFirst || by.Before(s.leaveBy) {
		s.leaveBy = by
	}
	waiting := s.core.queue.size
	s.stepLocked(Leave{Within: within})
	remaining := s.core.queue.size
	s.crashes.left = s.instance
	s.mu.Unlock()
	if !isFirst {
		return // each heartbeat repeats it
	}
	s.Log.Info("backend server is leaving", "within", d.String(), "queued", waiting, "still_queued", remaining)
}

// hasLeft reports whether the backend server is leaving and may end before a request sent now has
// reached it. Suspensions of the VM count.
func (s *Server) hasLeft() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaveBy.IsZero() && !clock.NowWithSuspension().Before(s.leaveBy)
}

// refuseLeft refuses an admitted call none of which has been sent, because the backend server may
// end before it arrives.
func (x *exchange) refuseLeft() {
	x.s.pool.drop(x.conn)
	x.release(ResultNotSent)
	x.refuse(wire.Refusal{Reason: wire.ReasonLeaving, RetryAfterMS: minRetryAfter.Milliseconds()})
}
