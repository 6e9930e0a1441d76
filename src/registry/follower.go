package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	againWithin  = 30 * time.Millisecond  // until that list, so that readers that were cut together do not come together
	retryMin     = 150 * time.Millisecond // after a failed call
	retryMax     = 700 * time.Millisecond
	tickEvery    = 500 * time.Millisecond
	questionsMax = 16 // members asked at once
)

// Follower keeps the members and the newest configuration as the store and, without it, the peers tell them.
type Follower struct {
	Store           Store
	Keys            Keys
	EntryKey        string        // of the own entry
	ID              uint64        // own member ID
	Domain          string        // own failure domain
	MaxTransferTime time.Duration // that the largest answer takes on the own link
	Exchanger       link.Exchanger
	OnConfig        func(value []byte)   // called with each newer configuration
	OnMembers       func()               // called when Members has changed
	OnEntryMissing  func()               // called when the store lacks the own entry
	SuspendedFor    func() time.Duration // how long the VM was suspended since the last call, nil for never
	Log             logr.Logger

	once    sync.Once
	asks    chan struct{}
	mu      sync.Mutex
	core    Core
	listed  bool // the store has been listed, so that a watch can go on from there
	after   uint64
	settle  time.Duration // rest after the last changes
	changed time.Time     // when that rest ended
	lost    bool
	cut     context.CancelFunc   // ends the call to the store or the reader that is under way
	awake   bool                 // the VM was suspended: what was heard before is not gone on from
	news    chan struct{}        // closed at the next step that may bring any
	failed  map[uint64]time.Time // readers that did not answer, and when
	reader  uint64               // through which the store is followed, 0 for none

	packMu       sync.Mutex
	packRevision uint64
	packValue    []byte // the configuration of packRevision
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.core = Core{Keys: f.Keys, EntryKey: f.EntryKey, ID: f.ID, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		f.asks = make(chan struct{}, questionsMax)
		f.news = make(chan struct{})
		f.failed = map[uint64]time.Time{}
	})
}

// Run follows the store until ctx is over.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	var wg sync.WaitGroup
	wg.Go(func() { f.tick(ctx) })
	defer wg.Wait()
	failures := 0
	for ctx.Err() == nil {
		err := f.follow(f.begin(ctx), failures == 1)
		if err == nil || f.resumed() {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.noteLost(err)
		pause := againWithin
		if failures > 0 || f.thin() { // one failure is no loss where a second try takes little time: those who follow through this member would all read the store themselves
			f.step(StoreLost{})
			pause = min(retryMin<<min(max(0, failures-1), 4), retryMax)
		}
		failures++
		clock.Sleep(ctx, pause/2+rand.N(pause/2))
	}
	return nil
}

// tick lets the core act on the passing of time, while the watch waits or the store is away.
func (f *Follower) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if f.SuspendedFor != nil {
				if pause := f.SuspendedFor(); pause > suspendedMin {
					f.resume(pause)
				}
			}
			f.step(Tick{})
		}
	}
}

// step gives the core an event and carries out what it decides.
func (f *Follower) step(e Event) {
	f.mu.Lock()
	actions := f.core.Step(time.Now(), e)
	if _, ok := e.(Tick); !ok {
		close(f.news)
		f.news = make(chan struct{})
	}
	have := f.core.ConfigRevision()
	f.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case PublishMembers:
			f.OnMembers()
		case ApplyConfig:
			f.OnConfig(a.Value)
		case Announce:
			f.OnEntryMissing()
		case ProbeMember:
			if !f.ask(func() { f.confirm(a.Member) }) {
				f.step(MemberProbed{Member: a.Member.ID, Alive: true})
			}
		case AskPeer:
			f.ask(func() { f.askPeer(a.Member, have) })
		}
	}
}

// Tombstone is Core.Tombstone.
func (f *Follower) Tombstone(instance string) (until time.Time, known bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Tombstone(instance)
}

// Members returns the members known.
func (f *Follower) Members() []wire.Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Members()
}
