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
	peerQueueSize    = 4096 // queued exchanges; further ones are dropped: a push is left to anti-entropy repair, an Ask or Pull counts as failed
	releaseTimeout   = 300 * time.Millisecond
)

// Distributor runs a Core: it keeps the configuration of a daemon at the highest accepted version that it can obtain, and passes it on.
//
// Its exported fields are set before the first method call. All methods but Run may be called concurrently, also before Run.
type Distributor struct {
	Self        func() wire.Member // this daemon as a member
	Store       kv.Store
	Exchanger   link.Exchanger
	View        func() *roster.View // current members, may return nil
	Profile     settings.Profile
	DirectWatch bool                         // the daemon watches the store without a lease and passes nothing on, as the baseline of benchmarks
	OnSnapshot  func(*ledger.Snapshot) error // brings a version into force, one call at a time; Run handles no other event meanwhile; on an error the version is refused and the previous one, if any, stays
	Now         func() time.Time             // time.Now if nil
	Rand        *rand.Rand                   // seeded randomly if nil
	Log         logr.Logger
	Metrics     *metrics.Set    // a new set if nil
	Record      *trace.Recorder // nil for no recording

	once   sync.Once
	inputs chan input

	mu      sync.Mutex // guards the fields below, which other goroutines read
	status  status
	inForce *ledger.Snapshot
}

// status is the state that a Distributor reports.
type status struct {
	refusedVersion uint64
	refusedReason  string
	isWatching     bool
	storeDown      bool
	storeChangedAt time.Time // time of the first store call that counts for StoreHealthy, then of each change of storeDown by a call
}

// input is an event for the core with the data that belongs to it.
type input struct {
	event     Event
	update    *wire.Update      // of a push or pull
	reference *ledger.Reference // of a watch or read
	peer      link.Peer         // sender of a probe or push
	lease     *kv.Lease         // of a grant
	fetched   *wire.Update      // read from the store; set instead of event
	reply     chan<- pullAnswer // of a pull request
}

// Run distributes configuration until ctx is done. It then waits for the calls in progress, releases the reader lease if it holds one, and returns nil.
// It may be called once.
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
	s := ReplaySettings{Self: self.ID, Domain: self.Domain, Profile: d.Profile, DirectWatch: d.DirectWatch}
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

// InForce returns the configuration in force, nil if there is none yet.
func (d *Distributor) InForce() *ledger.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inForce
}

// NotifyPeerAhead reports to the distributor that a peer has a higher version in force. It does not block, and drops the report if the queue is full.
func (d *Distributor) NotifyPeerAhead(from link.Peer, version uint64) {
	d.init()
	select {
	case d.inputs <- input{event: PeerAhead{Peer: from.ID, Version: version}, peer: from}:
	default: // the queue is full; a later probe reports it again
	}
}

// ServeMessage handles a push or pull from another daemon. A push returns a nil reply once it is queued, before it is applied; a pull waits for the reply.
//
// An error is of kind problem.Protocol, or of kind problem.Busy if the queue is full or ctx is done before the reply.
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

// RefusedVersion returns the version of the last update that could not be applied and the error's text.
//
// The version is 0 if there is none, or once a later update has been applied and that version or a newer one is in force.
func (d *Distributor) RefusedVersion() (version uint64, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status.refusedVersion, d.status.refusedReason
}

// IsWatching reports whether this daemon watches the store, as a reader, in fallback or with DirectWatch.
func (d *Distributor) IsWatching() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status.isWatching
}

// StoreHealthy reports whether the last counted store call of this daemon succeeded; it is true before the first, and is reset to true when the daemon ceases to watch.
//
// Reads and watches of the head, lease requests and renewals count, and fetches that failed. A denied lease is a success,
// and so is a watch that timed out: the read that follows it decides.
// since is the time of the last change by a call or of the first counted call, zero if there was none.
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
