package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Action is an output of a Core, executed by the Guard: ReadSlot, SwapSlot, Decide or Close.
type Action interface{ isAction() }

// ReadSlot reads a slot from the store; answered by SlotRead.
type ReadSlot struct {
	Call  uint64        `json:"call"`
	Key   string        `json:"key"`
	Delay time.Duration `json:"after_ns"` // before the read
}

// SwapSlot writes a slot if its key is at ExpectedRevision in the store, 0 for a key that does not exist; answered by SlotSwapped.
type SwapSlot struct {
	Call             uint64         `json:"call"`
	Key              string         `json:"key"`
	ExpectedRevision uint64         `json:"expect"`
	Slot             wire.ClaimSlot `json:"slot"`
}

// Decide answers Arrived; a store call after it in the same step is executed in the background.
type Decide struct {
	Call     uint64   `json:"call"`
	Kind     string   `json:"kind"` // name of the Decision's type in snake case
	Decision Decision `json:"decision"`
	Reason   string   `json:"reason"`
}

// Close ends the operation of a Confirming, Ended or Rewriting and answers it; OK states whether
// the claim was confirmed, its ending recorded or the claim checked.
type Close struct {
	Call   uint64 `json:"call"`
	OK     bool   `json:"ok"`
	Claim  Claim  `json:"claim"` // with its current ConfirmedUntil
	Reason string `json:"reason"`
}

func (ReadSlot) isAction() {}
func (SwapSlot) isAction() {}
func (Decide) isAction()   {}
func (Close) isAction()    {}
