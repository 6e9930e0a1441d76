package booking

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Action is a decision of the Core.
type Action interface{ isAction() }

// Admit assigns a slot to a call.
type Admit struct {
	Call uint64 `json:"call"`
}

// Queue makes a call wait for a slot. If the call is still queued after Wait, the Core needs a Tick.
type Queue struct {
	Call uint64        `json:"call"`
	Wait time.Duration `json:"wait_ns"` // longest wait
}

// Refuse rejects a call that has not run.
type Refuse struct {
	Call       uint64             `json:"call"`
	Reason     wire.RefusalReason `json:"reason"`
	RetryAfter time.Duration      `json:"retry_after_ns"`
}

// Lost reports that the backend server seems not to run an admitted call any more, although it has
// not answered it. The call keeps its slot until Release, but one slot less counts as used.
type Lost struct {
	Call uint64 `json:"call"`
}

func (Admit) isAction()  {}
func (Queue) isAction()  {}
func (Refuse) isAction() {}
func (Lost) isAction()   {}
