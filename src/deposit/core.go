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
	minWritesPerSecond   = 1   // of one holder, so that every daemon can serve requests with a key
)

const (
	writesPerRequest      = 2               // the claim and the outcome
	maxSendWindow         = 5 * time.Second // a request sent later than this after its claim was written needs the claim confirmed in the store
	maxUnrecordedReleases = 4096            // entries of Core.unrecordedReleases
	maxOpenClaims         = 1024
	maxSkew               = time.Minute // accepted difference between the clocks of store and holder
)

// Core is the state machine that decides on claims. All holders that share a store must have the same Expiry and Timeout. A Core has no defaults and is not safe for concurrent use.
type Core struct {
	Holder          uint64        // ID of this holder, different from all others; the user of the Core draws it at random at each start
	Expiry          time.Duration // age of a claim, since it was written or last renewed by a confirmation, at which its key can be claimed again
	Timeout         time.Duration // age at which a claim without an ending is answered Unknown instead of InProgress; also how long the recording of an ending is retried
	WritesPerSecond int           // write rate of this holder, 0 or less for no limit
	Rand            *rand.Rand    // source of the jitter of delays

	lastSequence       uint64
	operations         map[uint64]*operation // in progress, by call ID
	openClaims         map[uint64]*openClaim // claims granted and not ended, by sequence
	unrecordedReleases map[uint64]struct{}   // claims whose request did not run and that the store may still hold, by sequence: their release is in progress or has failed
	writeLimiter       *rate.Limiter
	breaker            breaker
	settling           settling
	memory             memory
}

// openClaim is a granted claim and the slot as the claim's last write left it.
type openClaim struct {
	claim    Claim
	revision uint64
	slot     wire.ClaimSlot
	era      uint64 // of the store when the claim was granted
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
	case Rewriting:
		return c.onRewriting(now, e)
	case EraRead:
		c.onEraRead(now, e)
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
	c.unrecordedReleases = map[uint64]struct{}{}
	// Sequences start at the current time, so that claim IDs are not reused even if a holder restarts with the same ID.
	c.lastSequence = uint64(now.UnixNano())
	limit := rate.Inf
	if c.WritesPerSecond > 0 {
		limit = rate.Limit(c.WritesPerSecond)
	}
	c.writeLimiter = rate.NewLimiter(limit, max(c.WritesPerSecond, writesPerRequest))
}

// setHolderCount limits this holder to its share of totalWritesPerSecond, and at most to its own rate. The burst stays the same, so that single requests are still admitted in a large fleet.
func (c *Core) setHolderCount(now time.Time, holders int) {
	if c.WritesPerSecond <= 0 || holders <= 0 {
		return
	}
	share := max(minWritesPerSecond, totalWritesPerSecond/float64(holders))
	c.writeLimiter.SetLimitAt(now, rate.Limit(min(share, float64(c.WritesPerSecond))))
}

// sendWindow returns how long after its claim was written a request can be sent without confirming the claim in the store.
func (c *Core) sendWindow() time.Duration { return min(maxSendWindow, c.Timeout/2) }
