package booking

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/wire"
)

// maxRouteTimeout is the timeout from which on a call is one whose upload was still arriving when
// it was sent.
const maxRouteTimeout = time.Minute

// passesGate refuses a call that may not run on this version of the backend server, and reports
// whether it may.
func (s *Server) passesGate(in link.InboundCall, h wire.CallHead) bool {
	if !s.Rollout.Guards() {
		return true
	}
	a := s.Rollout.Admit(h.Rollout)
	if a == rollout.AdmissionRun {
		return true
	}
	s.refuse(in, h, wire.Refusal{Reason: wire.ReasonVersion})
	if log := s.rolloutLog(s.callLog(h.Tenant)); log.Enabled() {
		log.Info("refused by the gate", "request_id", h.TraceID, "reason", string(a), "rollout", h.Rollout)
	}
	return false
}

// Calls returns the number of calls that have not ended: those that wait to be admitted or queued,
// those that run, and those whose answer is being sent.
func (s *Server) Calls() int { return int(s.calls.Load()) }

// rolloutLog adds the version of the backend server to a logger while the service is under an order.
func (s *Server) rolloutLog(log logr.Logger) logr.Logger {
	if !s.Rollout.Guards() {
		return log
	}
	return log.WithValues("server_version", s.Rollout.Version())
}

// recordOutcome adds the run of the call to the evidence on its version. It is called before the
// slot is released, when the run has ended for the caller.
func (x *exchange) recordOutcome(o rollout.Outcome) {
	if !x.s.Rollout.Guards() || o == rollout.OutcomeIgnored {
		return
	}
	x.isRouteTimeout() // learns the timeouts of the route
	took := x.s.Now().Sub(x.admitted)
	x.s.Rollout.Add(rollout.Sample{Route: x.head.Route, Outcome: o, Duration: took, Load: x.load})
}

// isRouteTimeout reports whether the call's timeout is that of its route, and not its caller's
// shorter deadline. While an upload is arriving, the timeout of the call says nothing of either.
func (x *exchange) isRouteTimeout() bool {
	timeout := time.Duration(x.head.TimeoutMS) * time.Millisecond
	return timeout < maxRouteTimeout && x.s.Rollout.IsRouteTimeout(x.head.Route, timeout)
}

// answerOutcome returns the outcome of a complete answer.
func (x *exchange) answerOutcome() rollout.Outcome {
	if x.resp.StatusCode() >= fasthttp.StatusInternalServerError {
		return rollout.OutcomeFailed
	}
	return rollout.OutcomeAnswered
}

// refusalOutcome returns the outcome of a run that ended without a complete answer.
func (x *exchange) refusalOutcome(r wire.Refusal) rollout.Outcome {
	switch {
	case !r.MayHaveRun:
		return rollout.OutcomeIgnored
	case r.Reason == wire.ReasonTimeout && x.isRouteTimeout():
		return rollout.OutcomeHung
	case r.Reason == wire.ReasonTimeout, r.Reason == wire.ReasonCancelled && !x.doubted.Load():
		return rollout.OutcomeCut
	}
	return failureOutcome(r.Reason == wire.ReasonCrashed)
}

// failureOutcome returns the outcome of a run during which the backend server closed the connection
// or sent no answer in the protocol.
func failureOutcome(crashed bool) rollout.Outcome {
	if crashed {
		return rollout.OutcomeCrashed
	}
	return rollout.OutcomeFailed
}
