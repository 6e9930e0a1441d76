package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Event is an input of a Core: Arrived, Confirming, Ended, Rewriting, EraRead, SlotRead,
// SlotSwapped or Shared.
type Event interface{ isEvent() }

// Arrived is a request that asks for a claim.
type Arrived struct {
	Call        uint64 `json:"call"` // ID of the operation, chosen by the Guard and never reused
	Service     string `json:"service"`
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"` // of the request's contents
}

// Confirming asks whether the request of a claim can still be sent.
type Confirming struct {
	Call  uint64 `json:"call"`
	Claim Claim  `json:"claim"`
}

// Ended ends a claim.
type Ended struct {
	Call   uint64 `json:"call"`
	Claim  Claim  `json:"claim"`
	Ending Ending `json:"ending"`
	Record Record `json:"record"` // for EndingFinish
}

// Shared sets the number of holders that share the store's write rate. It changes nothing if the number is 0 or less, or if the Core has no limit.
type Shared struct {
	Holders int `json:"holders"`
}

// Rewriting starts to write a remembered claim again if the store, restored from an older copy,
// lacks it. It is answered by
// Close, whose OK is false if no claim is left to check or the store failed.
type Rewriting struct {
	Call uint64 `json:"call"`
}

// EraRead is the answer of the store to a check of its era. Settled states that some holder has
// found this era settled.
type EraRead struct {
	Era     uint64 `json:"era"`
	Settled bool   `json:"settled"`
}

// SlotRead answers ReadSlot.
type SlotRead struct {
	Call     uint64         `json:"call"`
	Result   Result         `json:"result"`
	Revision uint64         `json:"revision"` // also names the store's era; see kv.JoinRevision
	Slot     wire.ClaimSlot `json:"slot"`
	Skew     time.Duration  `json:"skew_ns,omitempty"` // of the store's clock relative to the holder's
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
func (Rewriting) isEvent()   {}
func (EraRead) isEvent()     {}
func (Ended) isEvent()       {}
func (SlotRead) isEvent()    {}
func (SlotSwapped) isEvent() {}
