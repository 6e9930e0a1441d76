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

// Node is one daemon's part in the roster; its fields are set before Run.
type Node struct {
	Self           wire.Member                          // ID drawn at random by the daemon at each start
	Conn           net.PacketConn                       // UDP, at the address of the TCP control listener; closed by Run
	Exchanger      link.Exchanger                       // carries roster exchanges; nil for none
	Store          kv.Store                             // holds the seed records; nil for none
	Peers          []netip.AddrPort                     // control addresses to join when the store gives none
	Version        func() uint64                        // configuration version in force here; nil for 0
	OnNewerVersion func(from link.Peer, version uint64) // a member showed a higher version; must not block
	OnViewChange   func(*View)                          // the view changed; must not block
	Now            func() time.Time                     // nil for time.Now
	Rand           *rand.Rand                           // nil for one seeded by the ID
	Log            logr.Logger
	Metrics        *metrics.Set    // nil for an own set
	Record         *trace.Recorder // nil for none
	Profile        settings.Profile

	once     sync.Once
	core     *Core
	counters *counters
	view     atomic.Pointer[View]
	lost     atomic.Pointer[[]wire.Member]
	self     atomic.Pointer[wire.Member]
	ready    atomic.Bool
	leaving  atomic.Bool
	wake     chan struct{} // readiness or leaving has changed
	left     chan struct{} // closed once the leaving is announced
	stopped  chan struct{} // closed at the end of Run
	inbound  chan Received // full: the datagram is dropped and counted
	asks     chan ask      // full: the peer's exchange waits
	results  chan Event    // of the store and of exchanges; full: the worker waits
	toStore  chan Action   // full: the action is dropped, a later one takes its place
	toPeer   chan Exchange // one at a time
	full     copyLimit
}

// View returns the latest view, never nil.
func (n *Node) View() *View {
	n.once.Do(n.init)
	return n.view.Load()
}

// Member returns this daemon's own entry as the others are told it.
func (n *Node) Member() wire.Member {
	n.once.Do(n.init)
	return *n.self.Load()
}

// Lost returns the members that died without leaving and were not replaced, by ascending ID.
func (n *Node) Lost() []wire.Member {
	n.once.Do(n.init)
	return *n.lost.Load()
}

// SetReady tells the others whether this member takes requests.
func (n *Node) SetReady(ready bool) {
	n.once.Do(n.init)
	n.ready.Store(ready)
	n.rouse()
}

// Leave announces that this member takes no new requests; it returns once the first datagrams are sent.
func (n *Node) Leave(ctx context.Context) {
	n.once.Do(n.init)
	n.leaving.Store(true)
	n.rouse()
	select {
	case <-n.left:
	case <-n.stopped:
	case <-ctx.Done():
	}
}

// rouse lets Run look at once at what SetReady and Leave have stored.
func (n *Node) rouse() {
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
	n.left = make(chan struct{})
	n.stopped = make(chan struct{})
	n.inbound = make(chan Received, inboundQueue)
	n.asks = make(chan ask, askQueue)
	n.results = make(chan Event, resultQueue)
	n.toStore = make(chan Action, storeQueue)
	n.toPeer = make(chan Exchange, 1)
	n.ready.Store(n.Self.Ready)
	n.view.Store(NewView(0, []wire.Member{n.Self}))
	n.lost.Store(&[]wire.Member{})
	n.self.Store(&n.Self)
	n.counters = newCounters(n)
}
