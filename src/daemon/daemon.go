package daemon

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

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/relay"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/status"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Daemon is one process beside one backend server.
//
// Its duties and what flows between them:
//
//	callers --HTTP--> dispatch.Proxy --calls--> link.Pool ====> other daemons
//	                      |  ^ table                 |
//	                      |  |                       v
//	                      |  +--- swap          booking.Server --HTTP--> backend server
//	                      |        ^   ^
//	                      v        |   |
//	             deposit.Guard     |   +-- snapshots -- relay.Distributor <--> link.Pool, store
//	                      |        |                        ^
//	                      v        |                        | a peer is ahead
//	                    store      +-- views ------ roster.Node <--UDP--> other daemons
//
// The table in force is one pointer: the newest snapshot joined with the newest
// view. It is built aside, checked, and swapped whole or dropped.
type Daemon struct {
	Settings         settings.Settings
	Store            kv.Store
	ProxyListener    net.Listener                                                   // callers' HTTP
	ControlListener  net.Listener                                                   // links
	ProbeConn        net.PacketConn                                                 // UDP on the address of Control
	Dial             func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // links to other daemons, nil for plain TCP
	AdminListener    net.Listener                                                   // nil for no admin endpoints
	Log              logr.Logger
	Metrics          *metrics.Set                      // nil for a set of its own
	NewRecorder      func(core string) *trace.Recorder // nil for no recording
	DirectWatch      bool                              // every daemon watches the store by itself
	DispatchSettings dispatch.Settings                 // how calls are dispatched, zero for the defaults
	OnStateChange    func(*ActiveState)                // called with each state that comes into force, nil for none

	id          uint64
	store       *kv.Counted
	pool        *link.Pool
	booking     *booking.Server
	proxy       *dispatch.Proxy
	deposits    *deposit.Guard
	node        *roster.Node
	distributor *relay.Distributor
	gatherer    *status.Gatherer
	inForce     atomic.Pointer[ActiveState]
	leaving     atomic.Bool
	killed      atomic.Bool

	mu       sync.Mutex // held while a table is built
	snapshot *ledger.Snapshot
	view     *roster.View
}

// Build makes the parts; it is called by Run unless it was called before.
func (d *Daemon) Build() {
	if d.pool != nil {
		return
	}
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	for d.id == 0 {
		d.id = rand.Uint64()
	}
	d.Log = d.Log.WithValues("daemon", d.id)
	d.store = &kv.Counted{Store: d.Store, Metrics: d.Metrics}
	d.buildCalls()
	d.buildControl()
}

func (d *Daemon) buildCalls() {
	d.booking = &booking.Server{
		Backend: d.Settings.Backend, Service: d.Settings.Service, Self: d.id, Document: d.document,
		Log: d.Log.WithName("booking"), Metrics: d.Metrics, Record: d.recorder("booking"),
	}
	d.pool = &link.Pool{
		Self: d.id, Listener: d.ControlListener, Dial: d.Dial, Calls: d.booking, Messages: d, Insecure: d.Settings.Insecure, Keys: d.keys(),
		Grace: d.Settings.StopGrace.Std(), Log: d.Log.WithName("link"), Metrics: d.Metrics,
	}
	d.deposits = &deposit.Guard{Store: d.store, Holder: d.id, Log: d.Log.WithName("deposit"), Metrics: d.Metrics, Record: d.recorder("deposit")}
	d.proxy = &dispatch.Proxy{
		Listener: d.ProxyListener, Self: d.Member, Table: d.table, Transport: d.pool, LookupParent: d.parent,
		Deposits: d.deposits,
		Settings: d.DispatchSettings, Grace: d.Settings.StopGrace.Std(), Log: d.Log.WithName("dispatch"), Metrics: d.Metrics, Record: d.recorder("dispatch"),
	}
}

func (d *Daemon) buildControl() {
	d.node = &roster.Node{
		Self: d.member(), Conn: d.ProbeConn, Exchanger: d.pool, Store: d.store, Peers: d.Settings.Peers, Profile: d.Settings.Profile,
		Version: d.Version, OnNewerVersion: d.ahead, OnViewChange: d.takeView,
		Log: d.Log.WithName("roster"), Metrics: d.Metrics, Record: d.recorder("roster"),
	}
	d.view = d.node.View()
	d.distributor = &relay.Distributor{
		Self: d.Member, Store: d.store, Exchanger: d.pool, View: d.node.View, Profile: d.Settings.Profile, DirectWatch: d.DirectWatch,
		OnSnapshot: d.takeSnapshot, Log: d.Log.WithName("relay"), Metrics: d.Metrics, Record: d.recorder("relay"),
	}
	d.gatherer = &status.Gatherer{Self: d.Status, View: d.node.View, Exchanger: d.pool}
}

func (d *Daemon) member() wire.Member {
	s := d.Settings
	return wire.Member{
		ID: d.id, Addr: addrPort(d.ControlListener.Addr()), Proxy: addrPort(d.ProxyListener.Addr()),
		Service: s.Service, Domain: s.Domain, Region: s.Region, Slots: uint16(s.Backend.Slots),
		StartedAt: time.Now().UnixMilli(),
	}
}

func (d *Daemon) recorder(core string) *trace.Recorder {
	if d.NewRecorder == nil {
		return nil
	}
	return d.NewRecorder(core)
}

// ahead hears from a probe that a peer holds a higher version.
func (d *Daemon) ahead(from link.Peer, version uint64) { d.distributor.NotifyPeerAhead(from, version) }

// ServeMessage hands a control message to the duty it is for.
func (d *Daemon) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	switch kind {
	case link.KindRosterDigest:
		return d.node.ServeMessage(ctx, from, kind, payload)
	case link.KindStatus:
		return d.gatherer.Serve(ctx, payload)
	default:
		return d.distributor.ServeMessage(ctx, from, kind, payload)
	}
}
