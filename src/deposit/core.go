package deposit

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Defaults of a Guard.
const (
	DefaultExpiry          = 24 * time.Hour
	DefaultTimeout         = 30 * time.Second
	DefaultWritesPerSecond = 20
)

// Bounds of one holder's write rate when many holders share the store.
const (
	totalWritesPerSecond = 240 // of all holders together; the rest of the store's 400 is left to edits and leases
	minWritesPerSecond   = 1   // of one holder, so that every daemon can serve payments
)

const (
	writesPerPayment = 2               // the claim and the outcome
	maxSendWindow    = 5 * time.Second // a request sent later than this after its claim was written needs the claim confirmed in the store
	maxReleased      = 4096            // claims in Core.released
	maxOpenClaims    = 1024
	maxSkew          = time.Minute // accepted difference between the clocks of store and holder
)

// Core is the state machine that decides on claims. All holders that share a store must have the same Expiry and Timeout.
type Core struct {
	Holder          uint64        // drawn at random at each start, different from all others
	Expiry          time.Duration // time after which a key can be used again
	Timeout         time.Duration // longest time that a request is served
	WritesPerSecond int           // write rate of this holder, 0 for no limit
	Rand            *rand.Rand    // source of the jitter of delays

	lastSequence uint64
	operations   map[uint64]*operation // in progress, by call ID
	openClaims   map[uint64]*openClaim // claims granted and not ended, by sequence
	released     map[uint64]struct{}   // claims whose request did not run and that the store may still hold, by sequence
	writeLimiter *rate.Limiter
	breaker      breaker
}

// openClaim is a granted claim and the slot as the claim's last write left it.
type openClaim struct {
	claim    Claim
	revision uint64
	slot     wire.ClaimSlot
}

// Step handles one event. It returns at most one answer (Decide or Close), followed by at most one store call (ReadSlot or SwapSlot).
func (c *Core) Step(now time.Time, e Event) []Action {
	c.initialize(now)
	switch e := e.(type) {
	case Arrived:
		return c.onArrived(now, e)
	case Confirming:
		return c.onConfirming(now, e)
	case Ended:
		return c.onEnded(now, e)
	case SlotRead:
		return c.onSlotRead(now, e)
	case SlotSwapped:
		return c.onSlotSwapped(now, e)
	case Shared:
		c.setHolderCount(now, e.Holders)
	}
	return nil
}

// OpenClaims returns the number of claims granted and not ended.
func (c *Core) OpenClaims() int { return len(c.openClaims) }

func (c *Core) initialize(now time.Time) {
	if c.operations != nil {
		return
	}
	c.operations = map[uint64]*operation{}
	c.openClaims = map[uint64]*openClaim{}
	c.released = map[uint64]struct{}{}
	// A holder that restarts with the same ID must not reuse a claim ID.
	c.lastSequence = uint64(now.UnixNano())
	limit := rate.Inf
	if c.WritesPerSecond > 0 {
		limit = rate.Limit(c.WritesPerSecond)
	}
	c.writeLimiter = rate.NewLimiter(limit, max(c.WritesPerSecond, writesPerPayment))
}

// setHolderCount limits this holder to its share of totalWritesPerSecond, and at most to its own rate. The burst stays the same, so that single payments are still admitted in a large fleet.
func (c *Core) setHolderCount(now time.Time, holders int) {
	if c.WritesPerSecond <= 0 || holders <= 0 {
		return
	}
	share := max(minWritesPerSecond, totalWritesPerSecond/float64(holders))
	c.writeLimiter.SetLimitAt(now, rate.Limit(min(share, float64(c.WritesPerSecond))))
}

// sendWindow returns how long after its claim was written a request can be sent without confirming the claim in the store.
func (c *Core) sendWindow() time.Duration { return min(maxSendWindow, c.Timeout/2) }
