package booking

import (
	"context"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// runEnder is who ended a run whose answer was not passed on.
type runEnder string

// Those who end a run without its answer.
const (
	endedByCaller   runEnder = "caller"   // the caller's agent cancelled the call
	endedByLink     runEnder = "link"     // the link to the caller's agent ended
	endedByStop     runEnder = "stop"     // this agent closed the link in its planned stop
	endedByTimeout  runEnder = "timeout"  // of the call
	endedByStall    runEnder = "stall"    // the caller's agent took nothing of the answer for stallTimeout
	endedByBackend  runEnder = "backend"  // the backend server closed the connection
	endedByCrash    runEnder = "crash"    // the backend server crashed
	endedByFull     runEnder = "full"     // the backend server reset the connection because it is full
	endedByProtocol runEnder = "protocol" // what the backend server sent is no answer, or one to another request
	endedByLost     runEnder = "lost"     // the answer seems lost, and the caller's agent takes no doubt
)

// enderOfContext returns who cancelled the call, or otherwise the given one.
func (x *exchange) enderOfContext(otherwise runEnder) runEnder {
	if x.ctx.Err() == nil {
		return otherwise
	}
	switch link.EnderOfCall(context.Cause(x.ctx)) {
	case cut.Caller:
		return endedByCaller
	case cut.Timeout:
		return endedByTimeout
	case cut.KillTimer, cut.LinkGrace:
		return endedByStop
	}
	return endedByLink
}

// enderOfFailure returns who ended a run that is refused.
func (x *exchange) enderOfFailure(r wire.Refusal) runEnder {
	switch {
	case x.isLost():
		return endedByLost
	case x.full:
		return endedByFull
	case r.Reason == wire.ReasonCrashed:
		return endedByCrash
	case r.Reason == wire.ReasonProtocol:
		return endedByProtocol
	}
	return x.enderOfContext(endedByBackend)
}

// enderOfBody returns who ended an answer whose body the backend server did not send to its end.
func (x *exchange) enderOfBody(err error, crashed bool) runEnder {
	switch {
	case crashed:
		return endedByCrash
	case x.ctx.Err() == nil && isProtocolError(err):
		return endedByProtocol
	}
	return x.enderOfContext(endedByBackend)
}

// recordUnanswered counts and logs a run whose answer was not passed on.
func (x *exchange) recordUnanswered(by runEnder) {
	x.s.counters.countUnanswered(by)
	x.s.callLog(x.head.Tenant).Info("run ended without an answer", "request_id", x.head.TraceID, "route", x.head.Route, "attempt", x.head.Attempt, "instance", x.instance,
		"ended_by", string(by), "lost", x.doubted.Load(), "held_ms", x.held.Milliseconds())
}
