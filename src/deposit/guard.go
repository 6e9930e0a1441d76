package deposit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

const (
	maxBackgroundReleases = 4   // claims released concurrently in the background
	maxQueuedReleases     = 256 // claims that wait to be released; further ones stay in the store
)

// Guard ensures that a request with an idempotency key runs at most once within Expiry. It executes a Core on a store; the caller sends the request.
//
// Call Begin first. If it returns Granted, call Confirm right before each send, and end the claim with one of Finish, Release and Abandon.
// These three retry for up to Timeout. Their error is of kind problem.Unavailable and means that the ending may not be recorded; the claim cannot be ended again.
//
// If the store names an era in its answers, a rise of the era means that it came back from an older
// copy, which may lack claims.
// The Guard then writes its own claims again and, for up to Timeout, refuses new ones, since others
// may be lost.
//
// All holders that share a store must have the same Expiry and Timeout. The methods may be called concurrently.
type Guard struct {
	Store           kv.Store
	Holder          uint64           // ID of this holder, different from all others; the user of the Guard draws it at random at each start
	Now             func() time.Time // nil for time.Now
	Expiry          time.Duration    // age of a claim at which its key can be claimed again, 0 for DefaultExpiry; see Core
	Timeout         time.Duration    // age at which a claim without an ending is answered Unknown, 0 for DefaultTimeout; see Core
	WritesPerSecond int              // rate of store writes, 0 for DefaultWritesPerSecond, negative for no limit
	Rand            *rand.Rand       // nil for one seeded from the header of the trace, or at random without a trace
	Log             logr.Logger
	Metrics         *metrics.Set    // nil for a new set
	Record          *trace.Recorder // recorder of a trace of the Core's steps, nil for no trace

	once        sync.Once
	mu          sync.Mutex
	core        *Core
	lastCall    uint64
	releasePool pond.Pool
	sleep       func(context.Context, time.Duration) bool // clock.Sleep, except in tests
	stopChecks  context.CancelFunc
	checking    sync.Mutex // held during a check of the store's era
	checkTimer  *time.Timer
}

// Begin decides on a request with an idempotency key. An error is of kind problem.NotRun; RetryAfter returns when to repeat the request.
//
// The key is scoped to the service. The fingerprint identifies the contents of the request: a repeat of the key with another one gets Mismatch.
func (g *Guard) Begin(ctx context.Context, service, key string, fingerprint uint64) (Decision, error) {
	a := g.run(ctx, Arrived{Call: g.nextCall(), Service: service, Key: key, Fingerprint: fingerprint})
	d, _ := a.(Decide)
	g.observeDecision(service, d)
	if n, ok := d.Decision.(NotRun); ok {
		return nil, newRefusal(service, d.Reason, n.RetryAfter)
	}
	return d.Decision, nil
}

// Confirm returns the claim with its ConfirmedUntil updated if the request can still be sent. Call it right before each send: it asks the store only after a long pause, when ConfirmedUntil has passed.
//
// An error is of kind problem.NotRun, and RetryAfter applies to it. The request must not be sent then, but its claim must still be ended: with Release, unless an earlier send may have run.
func (g *Guard) Confirm(ctx context.Context, c Claim) (Claim, error) {
	a := g.run(ctx, Confirming{Call: g.nextCall(), Claim: c})
	done, _ := a.(Close)
	if !done.OK {
		return c, newRefusal("", done.Reason, defaultRetryAfter)
	}
	return done.Claim, nil
}

// Finish records the outcome of a request that ran. The request's answer can be sent before Finish returns.
func (g *Guard) Finish(ctx context.Context, c Claim, r Record) error {
	return g.endClaim(ctx, Ended{Claim: c, Ending: EndingFinish, Record: r})
}

// Release removes the claim of a request that certainly did not run.
func (g *Guard) Release(ctx context.Context, c Claim) error {
	return g.endClaim(ctx, Ended{Claim: c, Ending: EndingRelease})
}

// Abandon records in the claim that its request may have run.
func (g *Guard) Abandon(ctx context.Context, c Claim) error {
	return g.endClaim(ctx, Ended{Claim: c, Ending: EndingAbandon})
}

// SetHolderCount sets the number of daemons, including this one, that share the store's write rate. It changes nothing if the number is 0 or less, or if the Guard has no limit.
func (g *Guard) SetHolderCount(holders int) {
	g.initialize()
	g.step(Shared{Holders: holders})
}

// Close ends the checks of the store's era and waits for the background releases. Call it after all
// other methods have returned. Its error is always nil.
func (g *Guard) Close() error {
	g.initialize()
	g.stopChecks()
	g.checkTimer.Stop()
	g.checking.Lock() // waits for a check in progress
	defer g.checking.Unlock()
	g.releasePool.StopAndWait()
	return nil
}

func (g *Guard) endClaim(ctx context.Context, e Ended) error {
	e.Call = g.nextCall()
	a := g.run(ctx, e)
	done, _ := a.(Close)
	g.observeEnd(e, done)
	if !done.OK {
		return problem.New(problem.Unavailable, e.Claim.ID.String(), "cannot record ending "+string(e.Ending)+": "+done.Reason,
			"repeats of this key may be refused until the claim expires")
	}
	return nil
}

func (g *Guard) initialize() {
	g.once.Do(func() {
		if g.Now == nil {
			g.Now = time.Now
		}
		if g.Metrics == nil {
			g.Metrics = metrics.NewSet()
		}
		if g.Rand == nil && g.Record != nil {
			g.Rand = rand.New(rand.NewPCG(uint64(g.Record.Header.Seed), 0))
		}
		if g.Rand == nil {
			g.Rand = rand.New(rand.NewPCG(rand.Uint64(), 0))
		}
		g.core = &Core{
			Holder:          g.Holder,
			Expiry:          orDefault(g.Expiry, DefaultExpiry),
			Timeout:         orDefault(g.Timeout, DefaultTimeout),
			WritesPerSecond: orDefault(g.WritesPerSecond, DefaultWritesPerSecond),
			Rand:            g.Rand,
		}
		g.releasePool = pond.NewPool(maxBackgroundReleases, pond.WithQueueSize(maxQueuedReleases), pond.WithNonBlocking(true))
		g.sleep = clock.Sleep
		ctx, cancel := context.WithCancel(context.Background())
		g.stopChecks = cancel
		g.startEraChecks(ctx)
	})
}

func (g *Guard) nextCall() uint64 {
	g.initialize()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCall++
	return g.lastCall
}

func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}
