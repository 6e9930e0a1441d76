package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	inputSize      = 1024 // events that wait; a message that finds no room is answered as busy
	viewPeriod     = 100 * time.Millisecond
	storeWorkers   = 4
	peerWorkers    = 32
	peerQueue      = 4096 // exchanges that wait; one more is dropped and left to repair
	releaseTimeout = 300 * time.Millisecond
)

// Distributor keeps a daemon's configuration at the highest accepted version that it can learn of.
type Distributor struct {
	Self       func() wire.Member
	Store      kv.Store
	Exchanger  link.Exchanger
	View       func() *roster.View
	Profile    settings.Profile
	Baseline   bool                         // every daemon watches the store by itself and passes nothing on
	OnSnapshot func(*ledger.Snapshot) error // takes a version into force; an error refuses it and the old one stays
	Now        func() time.Time             // time.Now when nil
	Rand       *rand.Rand                   // seeded from the system when nil
	Log        logr.Logger
	Metrics    *metrics.Set
	Record     *trace.Recorder

	once   sync.Once
	inputs chan input

	mu      sync.Mutex // guards what other goroutines read
	status  status
	current *ledger.Snapshot
}

// status is what the distributor tells of itself.
type status struct {
	refused    uint64
	why        string
	reader     bool
	storeDown  bool
	storeSince time.Time
}

// input is an event on its way to the core, with what came along.
type input struct {
	event  Event
	update *wire.Update      // of a push or pull
	notice *ledger.Notice    // of a watch or read
	peer   link.Peer         // of a probe
	lease  *kv.Lease         // of a grant
	fetch  *wire.Update      // read from the store; has no event of its own
	reply  chan<- pullAnswer // of a pull request
}

// Run carries configuration until ctx is over, and then gives a reader's lease up.
func (c *Distributor) Run(ctx context.Context) error {
	c.init()
	l := c.newLoop(ctx)
	l.run()
	l.storePool.StopAndWait()
	l.peerPool.StopAndWait()
	l.releaseLease()
	return nil
}

// newLoop makes the goroutine's state with a core of its own random numbers.
func (c *Distributor) newLoop(ctx context.Context) *loop {
	seed := rand.Int64()
	if c.Rand != nil {
		seed = c.Rand.Int64()
	}
	self := c.Self()
	s := ReplaySettings{Self: self.ID, Domain: self.Domain, Profile: c.Profile, Baseline: c.Baseline}
	if c.Record != nil {
		c.Record.Header.Core, c.Record.Header.Seed = CoreName, seed
		c.Record.Header.Settings, _ = json.Marshal(s)
	}
	return &loop{
		Distributor: c,
		ctx:         ctx,
		core:        newCore(s, seed),
		holder:      holder{onSnapshot: c.OnSnapshot},
		storePool:   pond.NewPool(storeWorkers),
		peerPool:    pond.NewPool(peerWorkers, pond.WithQueueSize(peerQueue), pond.WithNonBlocking(true)),
		seen:        map[uint64]link.Peer{},
	}
}

// Current returns the configuration in force, nil before the first.
func (c *Distributor) Current() *ledger.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// NotifyPeerAhead tells that a peer has been seen to hold a higher version; it does not block.
func (c *Distributor) NotifyPeerAhead(from link.Peer, version uint64) {
	c.init()
	select {
	case c.inputs <- input{event: PeerAhead{Peer: from.ID, Version: version}, peer: from}:
	default: // a later probe shows it again
	}
}

// ServeMessage answers a push or a pull of another daemon; an error is of kind problem.Busy or problem.Protocol.
func (c *Distributor) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	c.init()
	switch kind {
	case link.KindPush:
		return nil, c.servePush(from, payload)
	case link.KindPull:
		return c.servePull(ctx, from, payload)
	}
	return nil, problem.New(problem.Protocol, "control message", "its kind is unknown", "run the same release on all daemons")
}

// RefusedVersion returns the newest version that this daemon could not take and why, or 0.
func (c *Distributor) RefusedVersion() (version uint64, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.refused, c.status.why
}

// IsReader tells whether this daemon watches the store.
func (c *Distributor) IsReader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.reader
}

// StoreHealthy tells whether the store answered this daemon's last call, and since when that is so; a daemon that makes no calls says true.
func (c *Distributor) StoreHealthy() (ok bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.status.storeDown, c.status.storeSince
}

func (c *Distributor) init() {
	c.once.Do(func() {
		c.inputs = make(chan input, inputSize)
		if c.Metrics == nil {
			c.Metrics = metrics.NewSet()
		}
	})
}

func (c *Distributor) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}
