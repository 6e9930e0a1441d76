package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	relistDelay           = 30 * time.Millisecond  // longest delay before the listing after a first failure; its jitter spreads readers whose connections were cut at the same time
	baseRetryDelay        = 150 * time.Millisecond // base of the exponential delay after failures that count as a loss of the store; jitter shortens it by up to half
	maxRetryDelay         = 700 * time.Millisecond
	lostRetryDelay        = 2 * time.Second // after a failure at an agent whose reader has lost the store too; the reader is asked first then, and peers are queried meanwhile
	tickInterval          = 500 * time.Millisecond
	tombstonePollInterval = 20 * time.Millisecond // between checks whether a tombstone is known
	maxQueries            = 16                    // concurrent requests to other members
)

// Follower keeps the members and the newest configuration up to date. Each agent runs one. It watches the store or a reader, which is a member that relays the changes in the store, and queries peers while neither answers.
//
// Its exported fields are set before the first call of a method; of the functions only SuspendedFor may be nil. OnConfig, OnMembers and OnEntryMissing may run concurrently, and also shortly after Run has returned, while a query to a peer ends. Members, Tombstone, OfferPeer and ServeMessage may be called concurrently.
type Follower struct {
	Store    Store
	Keys     Keys
	EntryKey string // key of this agent's entry
	ID       uint64 // member ID of this agent
	Domain   string // failure domain of this agent
	// MaxTransferTime is the time that the largest answer takes over this agent's link, which counts as slow above 300 ms (relistTimeout). It is added to the timeouts of listings and of queries to peers, and a third of it to those of watches and of the listing after a first failure.
	MaxTransferTime time.Duration
	// MaxStaleness is the longest time from the store's acknowledgement of a change until this agent applies it, while the store serves this agent; 0 for DefaultMaxStaleness.
	MaxStaleness   time.Duration
	Exchanger      link.Exchanger                             // sends registry requests to other members
	ConfigVersion  func([]byte) uint64                        // see Core.ConfigVersion
	OnConfig       func(value []byte)                         // called with each newer configuration; concurrent calls may arrive out of order, so it must ignore an older one
	KeepItem       func(key string, known, shown []byte) bool // see Core.KeepItem; nil if there are no rollouts
	OnItem         func(Item)                                 // called with each newer order or record of a rollout, also with its deletion; concurrent calls may arrive out of order, so it must ignore an older revision; nil if there are no rollouts
	OnRestoreItem  func(known Item, storeRevision uint64)     // see RestoreItem; nil if there are no rollouts
	OnMembers      func()                                     // called when the result of Members may have changed
	OnEntryMissing func()                                     // called when the store lacks this agent's entry
	SuspendedFor   func() time.Duration                       // returns how long the VM was suspended since the last call; nil disables the check
	Log            logr.Logger
	Metrics        *metrics.Set // nil for a new set

	once          sync.Once
	querySlots    chan struct{}
	mu            sync.Mutex // guards core, cancelCall, suspended and updated; the other fields below, up to readerID, are used only by Run's goroutine
	core          Core
	listed        bool // the store has been listed, so a watch can continue from watchRevision
	watchRevision uint64
	coalesceDelay time.Duration        // pause after the last changes
	coalescedAt   time.Time            // end of that pause
	afterChange   bool                 // the last answer of the store had changes
	lossLogged    bool                 // "store lost" has been logged, "store recovered" not yet
	cancelCall    context.CancelFunc   // cancels the call to the store or a reader in flight
	suspended     bool                 // the VM was suspended since the last call began; the store must be listed again
	updated       chan struct{}        // closed and replaced on each step that may change the state
	failedReaders map[uint64]time.Time // time of the last failure, by member ID
	readerID      uint64               // reader that is watched, 0 for the store itself
	lostReaderID  uint64               // reader whose last answer was that it has lost the store, 0 for none
	askedPeers    atomic.Bool          // last result of HasAskedPeers, once that stays true

	substitute  substitute
	newBuilds   map[uint64]bool // members that answer with parts, by ID; guarded by mu, as are the fields below
	sourceID    uint64          // see wire.RegistryReply.Source
	waiting     int             // requests of members that wait here
	holdersOf   uint64          // digest of the configuration of holders
	holders     []uint64        // members that have the newest configuration
	receipts    map[uint64]receipt
	cutOffSince time.Time     // zero while the store or a reader answers
	asOf        time.Time     // by clock.NowWithSuspension; all that the store acknowledged before has been applied, zero before the first answer
	applyTime   time.Duration // that the last configuration took in OnConfig

	history        configHistory
	receiptMetrics receiptMetrics
	directReads    *metrics.Counter
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.core = Core{Keys: f.Keys, EntryKey: f.EntryKey, ID: f.ID, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), ConfigVersion: f.ConfigVersion, KeepItem: f.KeepItem}
		f.querySlots = make(chan struct{}, maxQueries)
		f.updated = make(chan struct{})
		f.failedReaders = map[uint64]time.Time{}
		f.newBuilds = map[uint64]bool{}
		if f.Metrics == nil {
			f.Metrics = metrics.NewSet()
		}
		f.receiptMetrics = newReceiptMetrics(f.Metrics)
		f.newGauges()
	})
}

// Run keeps the members and the configuration up to date until ctx is done. It always returns nil and must be called at most once.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	var wg sync.WaitGroup
	wg.Go(func() { f.tick(ctx) })
	wg.Go(func() { f.limitStaleness(ctx) })
	defer wg.Wait()
	failures := 0
	for ctx.Err() == nil {
		err := f.followOnce(f.beginCall(ctx), failures == 1)
		if err == nil || f.wasSuspended() {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.logStoreLost(err)
		delay := relistDelay
		if f.lostReaderID != 0 {
			f.step(StoreLost{})
			delay = lostRetryDelay
			delete(f.failedReaders, f.lostReaderID)
		} else if failures > 0 || f.hasSlowLink() { // a first failure is logged but not reported to the core as a loss if a retry is quick: the report makes all agents that watch this one call the store
			f.step(StoreLost{})
			delay = min(baseRetryDelay<<min(max(0, failures-1), 4), maxRetryDelay)
		}
		failures++
		delay = delay/2 + rand.N(delay/2)
		if f.isLost() {
			f.searchSource(ctx, delay)
		} else {
			clock.Sleep(ctx, delay)
		}
	}
	return nil
}

// tick passes ticks to the core, also while a call waits, and detects suspensions of the VM.
func (f *Follower) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if f.SuspendedFor != nil {
				if suspension := f.SuspendedFor(); suspension > minSuspension {
					f.handleSuspension(suspension)
				}
			}
			f.step(Tick{})
		}
	}
}

// step passes an event to the core and carries out the resulting actions.
func (f *Follower) step(e Event) {
	f.mu.Lock()
	now := time.Now()
	actions := f.core.Step(now, e)
	if _, ok := e.(StoreLost); ok {
		f.sourceID = 0
	}
	if _, ok := e.(Tick); !ok {
		f.notifyLocked()
	}
	revision, version := f.core.Config()
	how := f.takeReceipt(revision, now)
	f.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case PublishMembers:
			f.OnMembers()
		case ApplyConfig:
			f.history.add(a.Value)
			began := time.Now()
			f.OnConfig(a.Value)
			f.noteInForce(version, how, time.Since(began))
		case DeliverItem:
			if f.OnItem != nil {
				f.OnItem(a.Item)
			}
		case RestoreItem:
			if f.OnRestoreItem != nil {
				f.OnRestoreItem(a.Item, a.StoreRevision)
			}
		case Announce:
			f.OnEntryMissing()
		case ProbeMember:
			if !f.startQuery(func() { f.probeMember(a.Member) }) {
				// No query slot is free: the member counts as alive until a later tick probes it again.
				f.step(MemberProbed{MemberID: a.Member.ID, Alive: true})
			}
		case QueryPeer:
			f.startQuery(func() { f.queryPeer(a.Member, a.Start) })
		}
	}
}

// AwaitTombstone waits until it is known whether an instance ID has a tombstone, and returns the
// latest start time that it covers, zero if there is none. known is false if ctx ends before, or if
// the tombstone is malformed.
func (f *Follower) AwaitTombstone(ctx context.Context, instance string) (latestStart time.Time, known bool) {
	f.init()
	t := time.NewTicker(tombstonePollInterval)
	defer t.Stop()
	for {
		f.mu.Lock()
		latestStart, known = f.core.Tombstone(time.Now(), instance)
		f.mu.Unlock()
		if known {
			return latestStart, true
		}
		select {
		case <-ctx.Done():
			return time.Time{}, false
		case <-t.C:
		}
	}
}

// KnowsItems reports whether the orders and records of rollouts are known; see Core.KnowsItems.
func (f *Follower) KnowsItems() bool {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.KnowsItems(time.Now())
}

// Members returns the known members, this agent among them once its entry is known, ordered by key. A member whose entry is missing stays until it fails a probe, unless it was leaving.
func (f *Follower) Members() []wire.Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Members()
}
