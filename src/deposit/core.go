package deposit

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Defaults of a Core.
const (
	DefaultExpiry          = 24 * time.Hour
	DefaultTimeout         = 30 * time.Second
	DefaultWritesPerSecond = 20
)

// Bounds of the budget when many holders share the store.
const (
	fleetWritesPerSecond = 240 // of all holders together, leaving the rest of the store's 400 to edits and leases
	minWritesPerSecond   = 1   // of one holder, so that a payment can be made anywhere
)

const (
	writesPerPayment = 2               // claim and outcome
	maxWindow        = 5 * time.Second // a send later than this after its claim was written needs the claim confirmed
	maxStrays        = 4096
	maxOpen          = 1024
	maxSkew          = time.Minute // between the clocks of store and holder
)

// Core decides on claims; all holders that share a store need the same Expiry and Timeout.
type Core struct {
	Holder          uint64        // drawn at random at each start, different from all others
	Expiry          time.Duration // a key can be used anew after it
	Timeout         time.Duration // longest time that a request is served
	WritesPerSecond int           // budget of this holder, 0 for no limit
	Rand            *rand.Rand    // of the waits between tries

	sequence uint64
	calls    map[uint64]*call
	open     map[uint64]*held    // claims granted and not ended, by sequence
	strays   map[uint64]struct{} // claims never sent that the store may still hold, by sequence
	budget   *rate.Limiter
	breaker  breaker
}

// held is a granted claim with the slot as its last write left it.
type held struct {
	claim    Claim
	revision uint64
	slot     wire.ClaimSlot
}

// Step takes one event and returns at most one answer, and after it at most one store call.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.setup(now)
	switch e := e.(type) {
	case Arrived:
		return c.arrived(now, e)
	case Confirming:
		return c.confirming(now, e)
	case Ended:
		return c.ended(now, e)
	case SlotRead:
		return c.slotRead(now, e)
	case SlotSwapped:
		return c.slotSwapped(now, e)
	case Shared:
		c.share(now, e.Holders)
	}
	return nil
}

// OpenClaims returns the number of claims granted and not ended.
func (c *Core) OpenClaims() int { return len(c.open) }

func (c *Core) setup(now time.Time) {
	if c.calls != nil {
		return
	}
	c.calls = map[uint64]*call{}
	c.open = map[uint64]*held{}
	c.strays = map[uint64]struct{}{}
	// A restart under the same holder id must not use a claim id again.
	c.sequence = uint64(now.UnixNano())
	limit := rate.Inf
	if c.WritesPerSecond > 0 {
		limit = rate.Limit(c.WritesPerSecond)
	}
	c.budget = rate.NewLimiter(limit, max(c.WritesPerSecond, writesPerPayment))
}

// share gives this holder its part of the fleet's writes, at most its own budget; the burst stays, so that single payments go on in a large fleet.
func (c *Core) share(now time.Time, holders int) {
	if c.WritesPerSecond <= 0 || holders <= 0 {
		return
	}
	part := max(minWritesPerSecond, fleetWritesPerSecond/float64(holders))
	c.budget.SetLimitAt(now, rate.Limit(min(part, float64(c.WritesPerSecond))))
}

// window is how long after the stamp of its claim a request can be sent.
func (c *Core) window() time.Duration { return min(maxWindow, c.Timeout/2) }
