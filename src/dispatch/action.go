package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Action is something the Core wants done.
type Action interface{ isAction() }

// SendAttempt sends the call to a member.
type SendAttempt struct {
	Call         uint64        `json:"call"`
	Attempt      int           `json:"attempt"` // from 1
	Member       uint64        `json:"member"`
	Service      string        `json:"service"`
	Timeout      time.Duration `json:"timeout_ns"` // of this attempt
	Reason       ChoiceReason  `json:"reason"`
	ExpectedWait time.Duration `json:"-"`               // expected at the member, as it told last
	LoadAge      time.Duration `json:"-"`               // since it told, 0 when it never has
	Final        bool          `json:"final,omitempty"` // no other server is expected to be sooner
	// Patience is the longest wait for a slot that is worth it there, 0 for no bound.
	Patience time.Duration `json:"patience_ns,omitempty"`
}

// CancelAttempt gives up an attempt; its answer is dropped.
type CancelAttempt struct {
	Call    uint64 `json:"call"`
	Attempt int    `json:"attempt"`
}

// AcceptAnswer passes an attempt's answer to the caller.
type AcceptAnswer struct {
	Call    uint64 `json:"call"`
	Attempt int    `json:"attempt"`
}

// RefuseCall tells the caller that its call has no answer.
type RefuseCall struct {
	Call       uint64             `json:"call"`
	Reason     wire.RefusalReason `json:"reason"`
	MayHaveRun bool               `json:"may_have_run,omitempty"`
	RetryAfter time.Duration      `json:"retry_after_ns,omitempty"`
}

// SetTimer asks for a TimerFired event.
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
