package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Action is something that a Core wants done: ReadSlot, SwapSlot, Decide or Close.
type Action interface{ isAction() }

// ReadSlot reads a key of the store.
type ReadSlot struct {
	Call  uint64        `json:"call"`
	Key   string        `json:"key"`
	Delay time.Duration `json:"after_ns"` // waited before the read
}

// SwapSlot writes a key of the store that is at revision Expect.
type SwapSlot struct {
	Call             uint64         `json:"call"`
	Key              string         `json:"key"`
	ExpectedRevision uint64         `json:"expect"`
	Slot             wire.ClaimSlot `json:"slot"`
}

// Decide answers Arrived; actions after it in the same step go on in the background.
type Decide struct {
	Call     uint64   `json:"call"`
	Kind     string   `json:"kind"` // name of the decision
	Decision Decision `json:"decision"`
	Reason   string   `json:"reason"`
}

// Close answers Confirming and Ended.
type Close struct {
	Call   uint64 `json:"call"`
	OK     bool   `json:"ok"`
	Claim  Claim  `json:"claim"` // as it stands now
	Reason string `json:"reason"`
}

func (ReadSlot) isAction() {}
func (SwapSlot) isAction() {}
func (Decide) isAction()   {}
func (Close) isAction()    {}
