package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	watchWait    = 10 * time.Second       // a waiting watch is one call; its connection is watched by keep-alive
	listTimeout  = time.Second            // a slow store takes up to half of it
	settleMin    = 50 * time.Millisecond  // after a watch has told changes, so that a series of them costs one call
	settleMax    = 400 * time.Millisecond // while they go on: well inside the two seconds in which a configuration is to be in force
	calmAfter    = time.Second            // without changes after which a series is over
	retryMin     = 150 * time.Millisecond // after a failed call
	retryMax     = 700 * time.Millisecond
	peerTimeout  = 500 * time.Millisecond
	tickEvery    = 500 * time.Millisecond
	questionsMax = 16 // members asked at once
)

// Follower keeps the members and the newest configuration as the store and, without it, the peers tell them.
type Follower struct {
	Store     Store
	Keys      Keys
	Key       string // of the own entry
	ID        uint64 // own member ID
	Exchanger link.Exchanger
	OnConfig  func(value []byte) // called with each newer configuration
	OnMembers func()             // called when Members has changed
	OnMissing func()             // called when the store lacks the own entry
	Log       logr.Logger

	once    sync.Once
	asks    chan struct{}
	mu      sync.Mutex
	core    Core
	after   uint64
	settle  time.Duration // rest after the last changes
	changed time.Time     // when that rest ended
	lost    bool
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.core = Core{Keys: f.Keys, Self: f.Key, ID: f.ID, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
		f.asks = make(chan struct{}, questionsMax)
	})
}

// Run follows the store until ctx is over.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	var wg sync.WaitGroup
	wg.Go(func() { f.tick(ctx) })
	defer wg.Wait()
	failures := 0
	listed := false
	for ctx.Err() == nil {
		err := f.follow(ctx, &listed)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.noteLost(err)
		f.step(StoreLost{})
		pause := min(retryMin<<min(failures, 4), retryMax)
		failures++
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
	}
	return nil
}

// follow makes one call: a list, or a watch from where the last one ended.
func (f *Follower) follow(ctx context.Context, listed *bool) error {
	if !*listed {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		items, revision, err := f.Store.List(call, f.Keys.Watched)
		if err != nil {
			return err
		}
		f.after, *listed = revision, true
		f.noteBack("listed", revision)
		f.step(StoreBack{})
		f.step(Listed{Items: items})
		return nil
	}
	items, revision, err := f.Store.Watch(ctx, f.Keys.Watched, f.after, watchWait)
	if err != nil {
		*listed = false
		if errors.Is(err, HistoryGone) {
			f.Log.Info("history gone", "reason", "the store dropped it", "after", f.after)
			return nil
		}
		return err
	}
	f.after = max(f.after, revision)
	f.step(StoreBack{})
	f.step(Changed{Items: items})
	if len(items) == 0 {
		return nil
	}
	if time.Since(f.changed) > calmAfter {
		f.settle = 0
	}
	f.settle = min(max(settleMin, 2*f.settle), settleMax)
	defer func() { f.changed = time.Now() }()
	return sleep(ctx, f.settle)
}

// sleep waits unless ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (f *Follower) noteLost(err error) {
	if !f.lost {
		f.lost = true
		f.Log.Info("store lost", "duty", "members and configuration", "reason", err.Error(), "after", f.after)
	}
}

func (f *Follower) noteBack(how string, revision uint64) {
	if f.lost {
		f.lost = false
		f.Log.Info("store back", "duty", "members and configuration", "how", how, "revision", revision)
	}
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
			f.step(Tick{})
		}
	}
}

// step gives the core an event and carries out what it decides.
func (f *Follower) step(e Event) {
	f.mu.Lock()
	actions := f.core.Step(time.Now(), e)
	have := f.core.ConfigRevision()
	f.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case Publish:
			f.OnMembers()
		case TakeConfig:
			f.OnConfig(a.Value)
		case Announce:
			f.OnMissing()
		case Confirm:
			if !f.ask(func() { f.confirm(a.Member) }) {
				f.step(Confirmed{Member: a.Member.ID, Alive: true})
			}
		case AskPeer:
			f.ask(func() { f.askPeer(a.Member, have) })
		}
	}
}

// ask runs a question beside the watch; beyond questionsMax at once it is dropped, and asked again at a later tick.
func (f *Follower) ask(question func()) bool {
	select {
	case f.asks <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-f.asks }()
		question()
	}()
	return true
}

// confirm asks a member whose entry has lapsed whether it lives; another one at its address says that it does not.
func (f *Follower) confirm(m wire.Member) {
	_, err := f.exchange(m, wire.RegistryRequest{Config: f.revision()})
	f.Log.Info("lapsed member asked", "member", m.ID, "addr", m.Addr.String(), "alive", err == nil, "reason", "its entry lapsed")
	f.step(Confirmed{Member: m.ID, Alive: err == nil || errors.Is(err, problem.Busy)})
}

func (f *Follower) askPeer(m wire.Member, have uint64) {
	r, err := f.exchange(m, wire.RegistryRequest{Config: have})
	if err != nil {
		f.Log.V(1).Info("peer did not answer", "member", m.ID, "reason", err.Error())
		return
	}
	f.step(PeerTold{Reply: r})
}

func (f *Follower) exchange(m wire.Member, req wire.RegistryRequest) (wire.RegistryReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var r wire.RegistryReply
	payload, err := req.MarshalMsg(nil)
	if err != nil {
		return r, err
	}
	b, err := f.Exchanger.Exchange(ctx, link.Peer{ID: m.ID, Addr: m.Addr}, link.KindRegistry, payload)
	if err != nil {
		return r, err
	}
	_, err = r.UnmarshalMsg(b)
	return r, err
}

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ConfigRevision()
}

// Members returns the members known.
func (f *Follower) Members() []wire.Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Members()
}

// ServeMessage answers a peer's question.
func (f *Follower) ServeMessage(_ context.Context, _ link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	f.init()
	var req wire.RegistryRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "registry request", "not msgpack", "run the same version on both daemons")
	}
	f.mu.Lock()
	reply := f.core.Reply(req)
	f.mu.Unlock()
	return reply.MarshalMsg(nil)
}
