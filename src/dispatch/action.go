package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Action is an operation that results from an event; the Proxy carries it out.
type Action interface{ isAction() }

// SendAttempt sends the call to a member.
type SendAttempt struct {
	Call         uint64        `json:"call"`
	Attempt      int           `json:"attempt"` // from 1
	Member       uint64        `json:"member"`
	Service      string        `json:"service"`
	Timeout      time.Duration `json:"timeout_ns"`        // of this attempt
	Rollout      uint64        `json:"rollout,omitempty"` // ID of the order that the service is under, 0 for none
	New          bool          `json:"new,omitempty"`     // the member has the version that the order names
	Reason       ChoiceReason  `json:"reason"`
	Backlog      time.Duration `json:"-"`               // time until a slot is free at the member: its last reported backlog less the time since
	LoadAge      time.Duration `json:"-"`               // time since the member last reported its load, 0 if it never has
	SpeedPercent int           `json:"-"`               // how long work is expected to take at the member, 100 as usual, 0 if it reports no speed
	Final        bool          `json:"final,omitempty"` // no other server is expected to answer sooner: the member queues the call even if its answer will miss the objective
	// MaxQueueWait is the longest time to wait for a slot at the member, 0 for no limit; after it, another server is expected to answer sooner.
	MaxQueueWait time.Duration `json:"patience_ns,omitempty"`
	Objective    time.Duration `json:"objective_ns,omitempty"` // time left to answer within the latency objective, which counts from the caller's first attempt; negative after it, 0 for no objective
}

// CancelAttempt cancels an attempt; its answer is discarded.
type CancelAttempt struct {
	Call    uint64 `json:"call"`
	Attempt int    `json:"attempt"`
}

// AcceptAnswer passes an attempt's answer to the caller.
type AcceptAnswer struct {
	Call    uint64 `json:"call"`
	Attempt int    `json:"attempt"`
}

// RefuseCall ends a call without an answer from a backend server; the caller receives the refusal.
type RefuseCall struct {
	Call       uint64             `json:"call"`
	Reason     wire.RefusalReason `json:"reason"`
	MayHaveRun bool               `json:"may_have_run,omitempty"`
	RetryAfter time.Duration      `json:"retry_after_ns,omitempty"`
}

// SetTimer schedules a TimerFired event; it may come later than stated if the request body is still arriving, or if its last bytes arrived while the timer ran. Timers are not cancelled: the core ignores those of calls that have been answered and of attempts that have ended.
type SetTimer struct {
	Call    uint64        `json:"call"`
	Attempt int           `json:"attempt"`
	Timer   TimerKind     `json:"timer"`
	After   time.Duration `json:"after_ns"`
}

func (SendAttempt) isAction()   {}
func (CancelAttempt) isAction() {}
func (AcceptAnswer) isAction()  {}
func (RefuseCall) isAction()    {}
func (SetTimer) isAction()      {}
