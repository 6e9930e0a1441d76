package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Claim is the right to send one request. Call Guard.Confirm right before each send.
type Claim struct {
	ID             wire.ClaimID `json:"id"`
	Digest         []byte       `json:"digest"` // of service and idempotency key
	ConfirmedUntil time.Time    `json:"until"`  // by the holder's clock; a later send needs the claim confirmed in the store
}

// isFresh reports whether the request can be sent without asking the store.
//
// The monotonic clock stops while a VM is suspended and the wall clock can be set, so both must be before ConfirmedUntil.
func (c Claim) isFresh(now time.Time) bool {
	return now.Before(c.ConfirmedUntil) && now.Round(0).Before(c.ConfirmedUntil.Round(0))
}
