package link

import (
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// sendFlow is the sending state of one body, or of one message in fragments.
type sendFlow struct {
	credit      int   // bytes of a body that the peer still accepts; not used for messages
	sent        int64 // bytes of a body that have been queued
	frameQueued bool  // a bulk frame of the flow is queued
	err         error
	ready       sync.Cond // signalled when credit arrives, the bulk frame is taken, or the flow ends

	priority  uint8     // of the call, 0 is the most urgent
	objective time.Time // of the call, zero for none
	message   bool      // of a message or its answer, which precedes all bodies: a configuration must not wait behind them on a link that they fill
	long      bool      // the body is sent as the limiter grants; false for one known to be short and for messages
	unsent    int64     // bytes announced to the limiter and not granted; guarded by its mutex
	ended     bool      // guarded by the limiter's mutex
}

// newMessageFlow returns the flow of a message or its answer.
func (q *sendQueue) newMessageFlow() *sendFlow {
	f := q.newSendFlow()
	f.message = true
	return f
}

func (q *sendQueue) newSendFlow() *sendFlow {
	f := &sendFlow{credit: initialWindow}
	f.ready.L = &q.mu
	return f
}

// newBodyFlow returns the flow of the request body or answer of a call that has just been sent or received.
func (q *sendQueue) newBodyFlow(h *wire.CallHead) *sendFlow {
	f := q.newSendFlow()
	f.priority = h.Priority
	if h.ObjectiveMS != 0 {
		f.objective = time.Now().Add(time.Duration(h.ObjectiveMS) * time.Millisecond)
	}
	return f
}

// expectBody prepares for sending a body of length bytes, negative if unknown.
func (q *sendQueue) expectBody(f *sendFlow, length int64) {
	if length >= 0 && length <= maxUrgentPayload {
		return
	}
	f.long = true
	q.limiter.announce(f, length)
}

// precedes reports whether a body is to be sent before another one.
func (f *sendFlow) precedes(other *sendFlow, now time.Time) bool {
	if f.message != other.message {
		return f.message
	}
	if late, otherLate := f.isLate(now), other.isLate(now); late != otherLate {
		return otherLate
	}
	if f.priority != other.priority {
		return f.priority < other.priority
	}
	if f.objective.IsZero() || other.objective.IsZero() {
		return !f.objective.IsZero()
	}
	return f.objective.Before(other.objective)
}

// isLate reports whether the objective of the call has passed.
func (f *sendFlow) isLate(now time.Time) bool { return !f.objective.IsZero() && now.After(f.objective) }
