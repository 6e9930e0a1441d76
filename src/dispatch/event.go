package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Event is an input of the Core.
type Event interface{ isEvent() }

// TableChanged passes the members of a new routing table to the core.
type TableChanged struct {
	Version uint64   `json:"version"`
	Self    uint64   `json:"self,omitempty"` // member ID of this daemon
	Domain  string   `json:"domain"`         // failure domain of this daemon
	Region  string   `json:"region"`
	Members []Member `json:"members"`
}

// RoutingChanged passes the routing of a service under an order to the core.
type RoutingChanged struct {
	Service string          `json:"service"`
	Routing rollout.Routing `json:"routing"`
}

// CallArrived reports a new call; the core sends its first attempt or refuses it.
type CallArrived struct {
	Call          uint64        `json:"call"`
	Policy        *Policy       `json:"policy"`
	Remaining     time.Duration `json:"left_ns"`               // until the call's deadline
	ParentRetries bool          `json:"retry_layer,omitempty"` // Parent.MayRetryAfterRun of the call's parent; this call is then retried only if it has not run
	HasBody       bool          `json:"has_body,omitempty"`
	BodyLength    int64         `json:"body,omitempty"`          // of the request body in bytes, negative if unknown
	Objective     time.Duration `json:"objective_ns,omitempty"`  // time left to answer within the latency objective, 0 for no objective
	EndWithin     time.Duration `json:"end_within_ns,omitempty"` // time in which the call must end because this daemon is stopping, 0 if it is not
	Longest       time.Duration `json:"longest_ns,omitempty"`    // time that the call takes at the latest, 0 if only the time that it is expected to take counts
}

// AttemptAnswered reports that the head of an attempt's answer has arrived; a short answer has arrived completely.
type AttemptAnswered struct {
	Call    uint64        `json:"call"`
	Attempt int           `json:"attempt"`
	Status  int           `json:"status"`
	Size    int64         `json:"size,omitempty"`    // of the answer's body in bytes, negative if unknown
	Held    time.Duration `json:"held_ns,omitempty"` // time since the head arrived, in which nothing was passed on
	Load    Load          `json:"load"`
	Leaving bool          `json:"leaving,omitempty"` // the answer says that the backend server is leaving
}

// AttemptRefused reports an attempt that ended without an answer.
type AttemptRefused struct {
	Call         uint64             `json:"call"`
	Attempt      int                `json:"attempt"`
	Reason       wire.RefusalReason `json:"reason"`
	MayHaveRun   bool               `json:"may_have_run,omitempty"`
	RetryAfter   time.Duration      `json:"retry_after_ns,omitempty"` // 0 if the refusal states none
	BodyConsumed bool               `json:"body_spent,omitempty"`     // the request body cannot be sent again
	Repeated     bool               `json:"repeated,omitempty"`       // with ReasonCrashed: not the first backend server to crash under this request
	StartedAt    time.Time          `json:"started_at,omitzero"`      // with ReasonLeaving and ReasonWrongMember: of the backend server that the refusal speaks of, zero if unknown
	Load         Load               `json:"load"`
}

// AttemptDoubted reports that the answer of an attempt may not come.
type AttemptDoubted struct {
	Call         uint64 `json:"call"`
	Attempt      int    `json:"attempt"`
	BodyConsumed bool   `json:"body_spent,omitempty"` // the request body cannot be sent again
	Silent       bool   `json:"silent,omitempty"`     // the member has sent nothing for some time; otherwise its backend server seems to have ended the attempt
}

// StopBegan reports that this daemon begins to stop and ends the calls in flight after a time.
type StopBegan struct {
	EndWithin time.Duration `json:"end_within_ns"`
}

// AttemptEnded reports that the body of an accepted answer has ended: it was passed on completely, truncated or abandoned.
type AttemptEnded struct {
	Call      uint64 `json:"call"`
	Attempt   int    `json:"attempt"`
	Truncated bool   `json:"cut,omitempty"`      // the body ended early on the backend server's side
	Streamed  bool   `json:"streamed,omitempty"` // the body was passed on while it arrived
}

// TimerFired reports that a timer set by SetTimer is due.
type TimerFired struct {
	Call    uint64    `json:"call"`
	Attempt int       `json:"attempt"`
	Timer   TimerKind `json:"timer"`
}

// CallerGone reports that a call is aborted: its caller has disconnected, its parent is cancelled or the proxy is stopping. The core cancels the call's attempts.
type CallerGone struct {
	Call uint64 `json:"call"`
}

func (TableChanged) isEvent()    {}
func (RoutingChanged) isEvent()  {}
func (CallArrived) isEvent()     {}
func (AttemptAnswered) isEvent() {}
func (AttemptRefused) isEvent()  {}
func (AttemptDoubted) isEvent()  {}
func (AttemptEnded) isEvent()    {}
func (StopBegan) isEvent()       {}
func (TimerFired) isEvent()      {}
func (CallerGone) isEvent()      {}
