package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Event is something that a Core is told: Arrived, Confirming, Ended, SlotRead, SlotSwapped or Shared.
type Event interface{ isEvent() }

// Arrived is a request that asks for a claim.
type Arrived struct {
	Call        uint64 `json:"call"` // chosen by the shell, never used twice
	Service     string `json:"service"`
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
}

// Confirming asks whether a claim still allows a send.
type Confirming struct {
	Call  uint64 `json:"call"`
	Claim Claim  `json:"claim"`
}

// Ended gives a claim up.
type Ended struct {
	Call   uint64 `json:"call"`
	Claim  Claim  `json:"claim"`
	Ending Ending `json:"ending"`
	Record Record `json:"record"` // of EndingFinish
}

// Shared tells how many holders share the writes of the store.
type Shared struct {
	Holders int `json:"holders"`
}

// SlotRead answers ReadSlot.
type SlotRead struct {
	Call     uint64         `json:"call"`
	Result   Result         `json:"result"`
	Revision uint64         `json:"revision"`
	Slot     wire.ClaimSlot `json:"slot"`
	Skew     time.Duration  `json:"skew_ns,omitempty"` // of the store's clock against the holder's
}

// SlotSwapped answers SwapSlot.
type SlotSwapped struct {
	Call     uint64 `json:"call"`
	Result   Result `json:"result"`
	Revision uint64 `json:"revision"`
}

func (Arrived) isEvent()     {}
func (Confirming) isEvent()  {}
func (Shared) isEvent()      {}
func (Ended) isEvent()       {}
func (SlotRead) isEvent()    {}
func (SlotSwapped) isEvent() {}
