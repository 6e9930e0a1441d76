package registry

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	watchWait    = 800 * time.Millisecond // a connection can go silent, and a watch can hear nothing: an answer within it proves that the store is followed
	watchMargin  = 500 * time.Millisecond // beyond it for an answer of a slow store; both leave time to read the store within two seconds
	listTimeout  = time.Second            // a slow store takes up to half of it
	settleMin    = 50 * time.Millisecond  // after a watch has told changes, so that a series of them costs one call
	settleMax    = 400 * time.Millisecond // while they go on: well inside the two seconds in which a configuration is to be in force
	calmAfter    = time.Second            // without changes after which a series is over
	againTimeout = 300 * time.Millisecond // for a list after a first failure: a silent watch, this and a list at each follower leave time within two seconds
	againWithin  = 30 * time.Millisecond  // until that list, so that readers that were cut together do not come together
	retryMin     = 150 * time.Millisecond // after a failed call
	retryMax     = 700 * time.Millisecond
	readerWait   = 700 * time.Millisecond // for changes at a reader, which then answers all the same
	readerRetry  = 3 * time.Second        // until a reader that failed is used again
	peerTimeout  = 500 * time.Millisecond
	tickEvery    = 500 * time.Millisecond
	questionsMax = 16                     // members asked at once
	suspendedMin = 500 * time.Millisecond // a shorter pause outlasts no time-out of a peer or of the store
)

// Follower keeps the members and the newest configuration as the store and, without it, the peers tell them.
type Follower struct {
	Store     Store
	Keys      Keys
	Key       string        // of the own entry
	ID        uint64        // own member ID
	Domain    string        // own failure domain
	Slack     time.Duration // that the largest answer takes on the own link
	Exchanger link.Exchanger
	OnConfig  func(value []byte)   // called with each newer configuration
	OnMembers func()               // called when Members has changed
	OnMissing func()               // called when the store lacks the own entry
	Suspended func() time.Duration // how long the VM was suspended since the last call, nil for never
	Log       logr.Logger

	once    sync.Once
	asks    chan struct{}
	mu      sync.Mutex
	core    Core
	after   uint64
	settle  time.Duration // rest after the last changes
	changed time.Time     // when that rest ended
	lost    bool
	cut     context.CancelFunc   // ends the call to the store or the reader that is under way
	awake   bool                 // the VM was suspended: what was heard before is not gone on from
	news    chan struct{}        // closed at the next step that may bring any
	failed  map[uint64]time.Time // readers that did not answer, and when
	reader  uint64               // through which the store is followed, 0 for none
	fresh   bool                 // it was chosen just now
	hurry   bool                 // it was chosen for one that did not answer

	packMu       sync.Mutex
	packRevision uint64
	packValue    []byte // the configuration of packRevision
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.core = Core{Keys: f.Keys, Self: f.Key, ID: f.ID, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
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
	listed := false
	for ctx.Err() == nil {
		err := f.follow(f.begin(ctx, &listed), &listed, failures == 1)
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
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
	}
	return nil
}

// begin returns the context of the next call, which a suspension ends; after one the store is read afresh.
func (f *Follower) begin(ctx context.Context, listed *bool) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut != nil {
		f.cut()
	}
	ctx, f.cut = context.WithCancel(ctx)
	if f.awake {
		f.awake, *listed = false, false
	}
	return ctx
}

// resumed tells whether the VM was suspended during the last call.
func (f *Follower) resumed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.awake
}

// resume ends the call under way, whose connection may be dead without a sign.
func (f *Follower) resume(pause time.Duration) {
	f.Log.Info("VM was suspended", "for", pause.String(), "outcome", "the store is read afresh")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awake = true
	if f.cut != nil {
		f.cut()
	}
}

// follow makes one call: a list, or a watch from where the last one ended; again tells that it repeats one that failed.
func (f *Follower) follow(ctx context.Context, listed *bool, again bool) error {
	if !*listed {
		limit := listTimeout + f.Slack
		if again {
			limit = againTimeout + f.Slack/3
		}
		call, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		items, revision, err := f.Store.List(call, f.Keys.Watched)
		if err != nil {
			return err
		}
		f.after, *listed = revision, true
		f.noteBack("listed", revision)
		f.step(StoreBack{})
		f.step(Listed{Items: items, Revision: revision})
		return nil
	}
	m, ok := f.readerNow()
	if ok {
		return f.subscribe(ctx, m)
	}
	if f.fresh && f.thin() {
		*listed = false // a list holds the newest version only, a watch all that came since
		return f.follow(ctx, listed, again)
	}
	call, cancel := context.WithTimeout(ctx, watchWait+watchMargin+f.Slack/3)
	defer cancel()
	items, revision, err := f.Store.Watch(call, f.Keys.Watched, f.after, watchWait)
	if err != nil {
		*listed = false
		if errors.Is(err, HistoryGone) {
			f.Log.Info("history gone", "reason", "the store dropped it", "after", f.after)
			return nil
		}
		return err
	}
	f.step(StoreBack{})
	if len(items) == 0 {
		return nil // a watch that heard nothing proves no more than the revision it began from
	}
	f.after = max(f.after, revision)
	f.step(Changed{Items: items, Revision: f.after})
	return f.rest(ctx)
}

// readerNow returns the member through which the store is followed now, unless it is to be read here.
func (f *Follower) readerNow() (wire.Member, bool) {
	f.mu.Lock()
	members := f.core.Members()
	f.mu.Unlock()
	passed := 0 // that did not answer lately
	recent := func(m wire.Member) bool { return time.Since(f.failed[m.ID]) < readerRetry }
	m, ok := readerFor(members, f.Key, f.Domain, f.Keys, func(m wire.Member) bool {
		if recent(m) {
			passed++
		}
		return f.thin() && recent(m)
	})
	if ok && (recent(m) || passed > 1) {
		ok = false
	}
	if !ok {
		m = wire.Member{}
	}
	f.fresh, f.hurry = m.ID != f.reader, m.ID != f.reader && passed > 0
	if f.fresh {
		f.Log.Info("store followed", "through", m.ID, "before", f.reader, "passed_over", passed, "reason", "widest links of the failure domain")
		f.reader = m.ID
	}
	return m, ok
}

// thin tells whether the own link is too thin to read the store in time while versions come one after the other; then another reader is taken for one that fails.
func (f *Follower) thin() bool { return f.Slack > againTimeout }

// subscribe waits for changes at a reader; one that does not answer, or does not follow the store, is passed over for a while.
func (f *Follower) subscribe(ctx context.Context, m wire.Member) error {
	wait := readerWait
	if f.hurry {
		wait = 0 // one has failed already: whether this one answers is to be known at once
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout+f.Slack/3)
	defer cancel()
	r, err := f.exchange(ctx, m, wire.RegistryRequest{Config: f.revision(), After: f.after, WaitMS: wait.Milliseconds()})
	if err != nil || r.Lost {
		if len(f.failed) > questionsMax {
			clear(f.failed)
		}
		f.failed[m.ID] = time.Now()
		f.Log.Info("reader passed over", "member", m.ID, "lost", r.Lost, "failed", err != nil)
		return nil // the store is read at once
	}
	f.after = max(f.after, r.Revision)
	f.step(StoreBack{})
	f.step(PeerTold{Reply: r, Follows: true})
	return nil
}

// rest waits after changes, the longer the closer they come.
func (f *Follower) rest(ctx context.Context) error {
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
			if f.Suspended != nil {
				if pause := f.Suspended(); pause > suspendedMin {
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
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	_, err := f.exchange(ctx, m, wire.RegistryRequest{Config: f.revision(), After: math.MaxUint64})
	f.Log.Info("lapsed member asked", "member", m.ID, "addr", m.Addr.String(), "alive", err == nil, "reason", "its entry lapsed")
	f.step(Confirmed{Member: m.ID, Alive: err == nil || errors.Is(err, problem.Busy)})
}

func (f *Follower) askPeer(m wire.Member, have uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout+f.Slack)
	defer cancel()
	r, err := f.exchange(ctx, m, wire.RegistryRequest{Config: have})
	if err != nil {
		f.Log.V(1).Info("peer did not answer", "member", m.ID, "reason", err.Error())
		return
	}
	f.step(PeerTold{Reply: r})
}

func (f *Follower) exchange(ctx context.Context, m wire.Member, req wire.RegistryRequest) (wire.RegistryReply, error) {
	var r wire.RegistryReply
	payload, err := req.MarshalMsg(nil)
	if err != nil {
		return r, err
	}
	b, err := f.Exchanger.Exchange(ctx, link.Peer{ID: m.ID, Addr: m.Addr}, link.KindRegistry, payload)
	if err != nil {
		return r, err
	}
	if _, err = r.UnmarshalMsg(b); err != nil || len(r.Value) == 0 {
		return r, err
	}
	r.Value, err = pack.Unpack(r.Value)
	return r, err
}

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ConfigRevision()
}

// LeftUntil is Core.LeftUntil.
func (f *Follower) LeftUntil(instance string) (until time.Time, known bool) {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.LeftUntil(instance)
}

// Members returns the members known.
func (f *Follower) Members() []wire.Member {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Members()
}

// ServeMessage answers a peer's question.
func (f *Follower) ServeMessage(ctx context.Context, _ link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	f.init()
	var req wire.RegistryRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "registry request", "not msgpack", "run the same version on both daemons")
	}
	reply := f.awaitNews(ctx, req)
	if len(reply.Value) > 0 {
		reply.Value = f.packed(reply.Config, reply.Value)
	}
	return reply.MarshalMsg(nil)
}

// awaitNews waits until there is something that the asker lacks, or its wait is over.
func (f *Follower) awaitNews(ctx context.Context, req wire.RegistryRequest) wire.RegistryReply {
	over := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer over.Stop()
	for {
		f.mu.Lock()
		reply, ready, news := f.core.Reply(req), f.core.News(req), f.news
		f.mu.Unlock()
		if ready || req.WaitMS <= 0 {
			return reply
		}
		select {
		case <-news:
		case <-over.C:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

// packed compresses a configuration once for all who ask for it.
func (f *Follower) packed(revision uint64, value []byte) []byte {
	f.packMu.Lock()
	defer f.packMu.Unlock()
	if f.packRevision != revision {
		f.packRevision, f.packValue = revision, pack.Pack(value)
	}
	return f.packValue
}
