package roster

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Node runs a Core on a UDP socket for one daemon. Its exported fields are set before the first call of a method. All
// methods may be called concurrently, and before Run.
type Node struct {
	Self           wire.Member                          // ID drawn at random by the daemon at each start
	Conn           net.PacketConn                       // UDP, at the address of the TCP control listener; closed by Run
	Exchanger      link.Exchanger                       // carries roster exchanges; if nil, each exchange fails
	Store          kv.Store                             // holds the seed records; nil if there is no store
	Peers          []netip.AddrPort                     // control addresses to join while no other live member is known
	Version        func() uint64                        // configuration version in force here; nil for 0
	OnNewerVersion func(from link.Peer, version uint64) // called when a member shows a higher version; must not block
	OnViewChange   func(*View)                          // called when the view changes; must not block
	Now            func() time.Time                     // nil for time.Now
	Rand           *rand.Rand                           // nil for one seeded by Self.ID and Self.StartedAt
	Log            logr.Logger
	Metrics        *metrics.Set    // nil for a private set
	Record         *trace.Recorder // nil to record nothing; Run sets its header if that has no settings
	Profile        settings.Profile

	once           sync.Once
	core           *Core
	counters       *counters
	view           atomic.Pointer[View]
	lost           atomic.Pointer[[]wire.Member]
	self           atomic.Pointer[wire.Member]
	ready          atomic.Bool
	leaving        atomic.Bool
	wake           chan struct{}        // readiness or leaving has changed
	leaveAnnounced chan struct{}        // closed once the leave is announced
	stopped        chan struct{}        // closed at the end of Run
	inbound        chan Received        // if full, the datagram is dropped and counted
	requests       chan exchangeRequest // if full, the peer's exchange waits
	results        chan Event           // of the store and of exchanges; if full, the worker waits
	storeActions   chan Action          // if full, the action is dropped; a periodic read of the core repeats it or leads to it again
	exchanges      chan Exchange        // the core has at most one in progress; if full, the exchange is dropped
	fullCopies     fullCopyLimiter
}

// View returns the latest view, never nil; until Run publishes one, it holds only this member.
func (n *Node) View() *View {
	n.once.Do(n.init)
	return n.view.Load()
}

// Member returns this member as it is announced to the others.
func (n *Node) Member() wire.Member {
	n.once.Do(n.init)
	return *n.self.Load()
}

// Lost returns the lost members (see the package comment) that are still remembered, by ascending ID.
func (n *Node) Lost() []wire.Member {
	n.once.Do(n.init)
	return *n.lost.Load()
}

// SetReady sets whether this member takes requests, which Run announces to the others. It does not block, and has no
// effect after Leave.
func (n *Node) SetReady(ready bool) {
	n.once.Do(n.init)
	n.ready.Store(ready)
	n.wakeLoop()
}

// Leave announces that this member takes no new requests; it returns once the first datagrams are sent, Run has ended or ctx is done.
func (n *Node) Leave(ctx context.Context) {
	n.once.Do(n.init)
	n.leaving.Store(true)
	n.wakeLoop()
	select {
	case <-n.leaveAnnounced:
	case <-n.stopped:
	case <-ctx.Done():
	}
}

// wakeLoop makes Run apply at once what SetReady and Leave have stored.
func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) init() {
	if n.Now == nil {
		n.Now = time.Now
	}
	if n.Rand == nil {
		n.Rand = rand.New(rand.NewPCG(n.Self.ID, uint64(n.Self.StartedAt)))
	}
	if n.Version == nil {
		n.Version = func() uint64 { return 0 }
	}
	if n.Metrics == nil {
		n.Metrics = metrics.NewSet()
	}
	n.wake = make(chan struct{}, 1)
	n.leaveAnnounced = make(chan struct{})
	n.stopped = make(chan struct{})
	n.inbound = make(chan Received, inboundQueue)
	n.requests = make(chan exchangeRequest, requestQueue)
	n.results = make(chan Event, resultQueue)
	n.storeActions = make(chan Action, storeQueue)
	n.exchanges = make(chan Exchange, 1)
	n.ready.Store(n.Self.Ready)
	n.view.Store(NewView(0, []wire.Member{n.Self}))
	n.lost.Store(&[]wire.Member{})
	n.self.Store(&n.Self)
	n.counters = newCounters(n)
}
