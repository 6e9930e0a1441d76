package booking

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// admit waits until the core admits or refuses a call, or until the call is cancelled. It returns true for an admitted call, otherwise the refusal and false.
func (s *Server) admit(ctx context.Context, call uint64, h wire.CallHead, remote bool, elapsed time.Duration) (wire.Refusal, bool) {
	decision := make(chan Action, 1)
	wait, queued := s.arrive(call, h, remote, elapsed, decision)
	if !queued {
		return admissionResult(<-decision)
	}
	s.counters.queued.Inc()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case a := <-decision:
			return admissionResult(a)
		case <-t.C:
			s.step(Tick{})
			t.Reset(time.Millisecond) // in case the clock of the core lags behind the timer and the call has not expired yet
		case <-ctx.Done():
			return s.abandon(ctx, call, decision)
		}
	}
}

// arrive passes a call to the core. It returns the longest wait and true if the call is queued; otherwise the decision is already in the channel.
func (s *Server) arrive(call uint64, h wire.CallHead, remote bool, elapsed time.Duration, decision chan Action) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configureLocked()
	s.pending[call] = decision
	e := s.newArrive(call, h, remote, elapsed)
	for _, a := range s.stepLocked(e) {
		if q, ok := a.(Queue); ok && q.Call == call {
			return q.Wait, true
		}
	}
	return 0, false
}

// wouldRefuse returns a refusal and true if a call is to be refused before its body is read: because Core.WouldRefuse refuses it,
// or because the bodies in transit to this VM would delay its own for longer than its patience. False does not mean that the call would be admitted.
func (s *Server) wouldRefuse(h wire.CallHead, remote bool) (wire.Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configureLocked()
	if s.InboundDelay != nil && h.PatienceMS > 0 {
		if d := s.InboundDelay(); d.Milliseconds() > h.PatienceMS {
			return wire.Refusal{Reason: wire.ReasonQueueFull, RetryAfterMS: d.Milliseconds()}, true
		}
	}
	r, refused := s.core.WouldRefuse(s.Now(), s.newArrive(0, h, remote, 0))
	return wire.Refusal{Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds()}, refused
}

// newArrive returns the event for a call, from another VM if remote is set, that arrived the given time ago.
func (s *Server) newArrive(call uint64, h wire.CallHead, remote bool, elapsed time.Duration) Arrive {
	e := Arrive{Call: call, Route: h.Route, Priority: h.Priority, Attempt: int(h.Attempt), Final: h.Final, Patience: time.Duration(h.PatienceMS) * time.Millisecond, Remote: remote, Waited: elapsed}
	if remote && s.OutboundDelay != nil {
		e.LinkDelay, e.LinkDelayIfLate = s.OutboundDelay()
	}
	if h.ObjectiveMS != 0 {
		e.Objective = time.Duration(h.ObjectiveMS)*time.Millisecond - elapsed
	}
	if h.TimeoutMS > 0 {
		e.Timeout = max(1, time.Duration(h.TimeoutMS)*time.Millisecond-elapsed) // at least 1 ns, since 0 means no deadline
	}
	return e
}

// configureLocked applies the limits of the current document if they have changed. s.mu must be held.
func (s *Server) configureLocked() {
	d := s.document()
	if d == nil || d.Limits == s.limits {
		return
	}
	s.limits = d.Limits
	s.stepLocked(Configure{Queue: d.Limits.Queue, QueueWait: d.Limits.QueueWait.Std()})
}

// abandon removes a cancelled call from the queue. If the call was admitted concurrently, abandon releases its slot. It returns the refusal and false, as admit does.
func (s *Server) abandon(ctx context.Context, call uint64, decision chan Action) (wire.Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := wire.Refusal{Reason: cancelReason(ctx)}
	if _, isPending := s.pending[call]; isPending {
		delete(s.pending, call)
		s.stepLocked(Abandon{Call: call})
		return r, false
	}
	if _, ok := (<-decision).(Admit); ok {
		s.stepLocked(Release{Call: call, Result: ResultFailed})
	}
	return r, false
}

// admissionResult returns the refusal and false for a Refuse action, and true for an Admit action.
func admissionResult(a Action) (wire.Refusal, bool) {
	if r, ok := a.(Refuse); ok {
		return wire.Refusal{Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds()}, false
	}
	return wire.Refusal{}, true
}

// cancelReason returns ReasonTimeout if the deadline of the call has passed, otherwise ReasonCancelled.
func cancelReason(ctx context.Context) wire.RefusalReason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return wire.ReasonTimeout
	}
	return wire.ReasonCancelled
}
