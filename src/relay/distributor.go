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
	inputQueueSize   = 1024 // queued events; when full, messages of peers are answered as busy
	viewPollInterval = 100 * time.Millisecond
	storeWorkers     = 4
	peerWorkers      = 32
	peerQueueSize    = 4096 // queued exchanges; further ones are dropped and left to anti-entropy repair
	releaseTimeout   = 300 * time.Millisecond
)

// Distributor keeps the configuration of a daemon at the highest accepted version that it can obtain.
type Distributor struct {
	Self       func() wire.Member
	Store      kv.Store
	Exchanger  link.Exchanger
	View       func() *roster.View
	Profile    settings.Profile
	Baseline   bool                         // every daemon watches the store without a lease and passes nothing on
	OnSnapshot func(*ledger.Snapshot) error // brings a version into force; on an error the version is refused and the previous one stays
	Now        func() time.Time             // time.Now if nil
	Rand       *rand.Rand                   // seeded randomly if nil
	Log        logr.Logger
	Metrics    *metrics.Set
	Record     *trace.Recorder

	once   sync.Once
	inputs chan input

	mu      sync.Mutex // guards the fields below, which other goroutines read
	status  status
	current *ledger.Snapshot
}

// status is the state that a Distributor reports.
type status struct {
	refusedVersion uint64
	refusedReason  string
	isReader       bool
	storeDown      bool
	storeChangedAt time.Time // last change of storeDown
}

// input is an event for the core with the data that belongs to it.
type input struct {
	event   Event
	update  *wire.Update      // of a push or pull
	notice  *ledger.Reference // of a watch or read
	peer    link.Peer         // sender of a probe or push
	lease   *kv.Lease         // of a grant
	fetched *wire.Update      // read from the store; set instead of event
	reply   chan<- pullAnswer // of a pull request
}

// Run distributes configuration until ctx is done, and then releases the reader lease if it holds one.
func (d *Distributor) Run(ctx context.Context) error {
	d.init()
	l := d.newLoop(ctx)
	l.run()
	l.storePool.StopAndWait()
	l.peerPool.StopAndWait()
	l.releaseOnStop()
	return nil
}

// newLoop returns the state of a loop, with a newly seeded core.
func (d *Distributor) newLoop(ctx context.Context) *loop {
	seed := rand.Int64()
	if d.Rand != nil {
		seed = d.Rand.Int64()
	}
	self := d.Self()
	s := ReplaySettings{Self: self.ID, Domain: self.Domain, Profile: d.Profile, Baseline: d.Baseline}
	if d.Record != nil {
		d.Record.Header.Core, d.Record.Header.Seed = CoreName, seed
		d.Record.Header.Settings, _ = json.Marshal(s)
	}
	return &loop{
		Distributor: d,
		ctx:         ctx,
		core:        newCore(s, seed),
		config:      configState{onSnapshot: d.OnSnapshot},
		storePool:   pond.NewPool(storeWorkers),
		peerPool:    pond.NewPool(peerWorkers, pond.WithQueueSize(peerQueueSize), pond.WithNonBlocking(true)),
		knownPeers:  map[uint64]link.Peer{},
	}
}

// Current returns the configuration in force, nil if there is none yet.
func (d *Distributor) Current() *ledger.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// NotifyPeerAhead reports to the distributor that a peer holds a higher version; it does not block.
func (d *Distributor) NotifyPeerAhead(from link.Peer, version uint64) {
	d.init()
	select {
	case d.inputs <- input{event: PeerAhead{Peer: from.ID, Version: version}, peer: from}:
	default: // the queue is full; a later probe reports it again
	}
}

// ServeMessage answers a push or pull from another daemon; an error is of kind problem.Busy or problem.Protocol.
func (d *Distributor) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	d.init()
	switch kind {
	case link.KindPush:
		return nil, d.servePush(from, payload)
	case link.KindPull:
		return d.servePull(ctx, from, payload)
	}
	return nil, problem.New(problem.Protocol, "control message", "its kind is unknown", "run the same release on all daemons")
}

// RefusedVersion returns the newest version that this daemon refused and the reason, 0 if there is none.
func (d *Distributor) RefusedVersion() (version uint64, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status.refusedVersion, d.status.refusedReason
}

// IsReader reports whether this daemon watches the store.
func (d *Distributor) IsReader() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status.isReader
}

// StoreHealthy reports whether the store answered this daemon's last call, and since when; it is true on a daemon that makes no calls.
func (d *Distributor) StoreHealthy() (ok bool, since time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.status.storeDown, d.status.storeChangedAt
}

func (d *Distributor) init() {
	d.once.Do(func() {
		d.inputs = make(chan input, inputQueueSize)
		if d.Metrics == nil {
			d.Metrics = metrics.NewSet()
		}
	})
}

func (d *Distributor) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}
