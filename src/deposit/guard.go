package deposit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

const (
	maxCleaners     = 4   // claims released at once in the background
	maxCleanerQueue = 256 // claims that wait for it, further ones stay in the store
)

// Guard runs a Core on a store.
type Guard struct {
	Store           kv.Store
	Holder          uint64           // drawn at random at each start, different from all others
	Now             func() time.Time // nil for time.Now
	Expiry          time.Duration    // 0 for DefaultExpiry
	Timeout         time.Duration    // longest time that a payment is served, 0 for DefaultTimeout
	WritesPerSecond int              // budget of store writes, 0 for DefaultWritesPerSecond, negative for none
	Rand            *rand.Rand       // nil for a random seed, or that of Record's header
	Log             logr.Logger
	Metrics         *metrics.Set // nil for an own set
	Record          *trace.Recorder

	once     sync.Once
	mu       sync.Mutex
	core     *Core
	calls    uint64
	cleaners pond.Pool
}

// Begin decides on a request with an idempotency key; an error is of kind problem.NotRun and tells RetryAfter when to come back.
func (g *Guard) Begin(ctx context.Context, service, key string, fingerprint uint64) (Decision, error) {
	a := g.drive(ctx, Arrived{Call: g.call(), Service: service, Key: key, Fingerprint: fingerprint})
	d, _ := a.(Decide)
	g.decided(service, d)
	if n, ok := d.Decision.(NotRun); ok {
		return nil, refused(service, d.Reason, n.RetryAfter)
	}
	return d.Decision, nil
}

// Confirm returns the claim when it still allows a send; call it right before each one, as it asks the store only after a long pause.
func (g *Guard) Confirm(ctx context.Context, c Claim) (Claim, error) {
	a := g.drive(ctx, Confirming{Call: g.call(), Claim: c})
	done, _ := a.(Close)
	if !done.OK {
		return c, refused("", done.Reason, retryAfter)
	}
	return done.Claim, nil
}

// Finish records the outcome of a request that ran; the answer need not wait for it.
func (g *Guard) Finish(ctx context.Context, c Claim, r Record) error {
	return g.end(ctx, Ended{Claim: c, Ending: EndingFinish, Record: r})
}

// Release gives the claim of a request back that surely did not run.
func (g *Guard) Release(ctx context.Context, c Claim) error {
	return g.end(ctx, Ended{Claim: c, Ending: EndingRelease})
}

// Abandon marks the claim of a request that may have run.
func (g *Guard) Abandon(ctx context.Context, c Claim) error {
	return g.end(ctx, Ended{Claim: c, Ending: EndingAbandon})
}

// SetHolderCount sets the number of daemons, including this one, that share the store's write rate.
func (g *Guard) SetHolderCount(holders int) {
	g.setup()
	g.step(Shared{Holders: holders})
}

// Close waits until what goes on in the background has ended.
func (g *Guard) Close() error {
	g.setup()
	g.cleaners.StopAndWait()
	return nil
}

func (g *Guard) end(ctx context.Context, e Ended) error {
	e.Call = g.call()
	a := g.drive(ctx, e)
	done, _ := a.(Close)
	g.ended(e, done)
	if !done.OK {
		return problem.New(problem.Unavailable, e.Claim.ID.String(), "ending "+string(e.Ending)+" not recorded: "+done.Reason,
			"repeats of this key are told that it may have run until it expires")
	}
	return nil
}

func (g *Guard) setup() {
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
		g.cleaners = pond.NewPool(maxCleaners, pond.WithQueueSize(maxCleanerQueue), pond.WithNonBlocking(true))
	})
}

func (g *Guard) call() uint64 {
	g.setup()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	return g.calls
}

func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}
