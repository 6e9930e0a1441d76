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
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/relay"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/status"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Daemon is the sidecar process of one backend server. Set its exported fields before Build or Run. All other methods except ActiveState, Version and Ready may be called only after Build.
//
// Its components and the data that flows between them:
//
//	callers --HTTP--> dispatch.Proxy --calls--> link.Pool <===> other daemons
//	                      |  ^ table                 |
//	                      |  |                       v
//	                      |  +--- activate      booking.Server --HTTP--> backend server
//	                      |        ^   ^
//	                      v        |   |
//	             deposit.Guard     |   +-- snapshots -- relay.Distributor <--> link.Pool, store
//	                      |        |                        ^
//	                      v        |                        | a peer is ahead
//	                    store      +-- views ------ roster.Node <--UDP--> other daemons
//
// A new routing table is built and checked from the newest snapshot and the newest
// view before it replaces the one in force, with one pointer swap. If that fails, it is
// discarded and the previous table stays in force.
type Daemon struct {
	Settings         settings.Settings
	Store            kv.Store
	ProxyListener    net.Listener                                                   // HTTP of callers
	ControlListener  net.Listener                                                   // links of other daemons
	ProbeConn        net.PacketConn                                                 // probes from and to other daemons, UDP on the address of ControlListener
	Dial             func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // opens the transport connection of a link to another daemon; nil to dial TCP
	AdminListener    net.Listener                                                   // HTTP of the admin endpoints, nil for none
	Log              logr.Logger
	Metrics          *metrics.Set                           // nil for a new set
	NewRecorder      func(component string) *trace.Recorder // returns the recorder of a component's trace, nil to record none
	DirectWatch      bool                                   // the daemon watches the store without the lease of a reader and passes no versions on to its peers; for the baseline of benchmarks
	DispatchSettings dispatch.Settings                      // zero for the defaults
	OnStateChange    func(*ActiveState)                     // called with each state that comes into force, one call at a time; must not block, since the next state waits for it; nil for none

	id          uint64
	store       *kv.Counted
	pool        *link.Pool
	booking     *booking.Server
	proxy       *dispatch.Proxy
	deposits    *deposit.Guard
	quarantine  *quarantine.Node
	rosterNode  *roster.Node
	distributor *relay.Distributor
	gatherer    *status.Gatherer
	activeState atomic.Pointer[ActiveState]
	leaving     atomic.Bool
	killed      atomic.Bool

	mu       sync.Mutex       // held while a state is built and put in force; guards snapshot and view
	snapshot *ledger.Snapshot // newest accepted, nil before the first
	view     *roster.View     // newest
}

// Build creates the components. Run calls it; calls after the first have no effect.
func (d *Daemon) Build() {
	if d.pool != nil {
		return
	}
	if d.Metrics == nil {
		d.Metrics = metrics.NewSet()
	}
	for d.id == 0 { // peers reject ID 0
		d.id = rand.Uint64()
	}
	d.Log = d.Log.WithValues("daemon", d.id)
	d.store = &kv.Counted{Store: d.Store, Metrics: d.Metrics}
	d.buildDataPlane()
	d.buildControlPlane()
}

// buildDataPlane creates the components that carry calls.
func (d *Daemon) buildDataPlane() {
	d.booking = &booking.Server{
		Backend: d.Settings.Backend, Service: d.Settings.Service, Self: d.id, Document: d.currentDocument,
		Log: d.Log.WithName("booking"), Metrics: d.Metrics, Record: d.newRecorder("booking"),
	}
	d.pool = &link.Pool{
		Self: d.id, Listener: d.ControlListener, Dial: d.Dial, Calls: d.booking, Messages: d, Insecure: d.Settings.Insecure, Keys: d.linkKeys(),
		Grace: d.Settings.StopGrace.Std(), Log: d.Log.WithName("link"), Metrics: d.Metrics,
	}
	d.deposits = &deposit.Guard{Store: d.store, Holder: d.id, Log: d.Log.WithName("deposit"), Metrics: d.Metrics, Record: d.newRecorder("deposit")}
	d.proxy = &dispatch.Proxy{
		Listener: d.ProxyListener, Self: d.Member, Table: d.currentTable, Transport: d.pool, LookupParent: d.lookupParent,
		Deposits: d.deposits,
		HoldOpen: d.booking.MayRun,
		Settings: d.DispatchSettings, Grace: d.Settings.StopGrace.Std(), Log: d.Log.WithName("dispatch"), Metrics: d.Metrics, Record: d.newRecorder("dispatch"),
	}
}

// buildControlPlane creates the components for membership, configuration and status; the data plane must exist.
func (d *Daemon) buildControlPlane() {
	d.rosterNode = &roster.Node{
		Self: d.initialMember(), Conn: d.ProbeConn, Exchanger: d.pool, Store: d.store, Peers: d.Settings.Peers, Profile: d.Settings.Profile,
		Version: d.Version, OnNewerVersion: d.notifyPeerAhead, OnViewChange: d.applyView,
		Log: d.Log.WithName("roster"), Metrics: d.Metrics, Record: d.newRecorder("roster"),
	}
	d.view = d.rosterNode.View()
	d.distributor = &relay.Distributor{
		Self: d.Member, Store: d.store, Exchanger: d.pool, View: d.rosterNode.View, Profile: d.Settings.Profile, DirectWatch: d.DirectWatch,
		OnSnapshot: d.applySnapshot, Log: d.Log.WithName("relay"), Metrics: d.Metrics, Record: d.newRecorder("relay"),
	}
	d.quarantine = &quarantine.Node{
		Self: d.id, Members: func() []wire.Member { return d.rosterNode.View().Members }, Exchanger: d.pool,
		Claimer: &quarantine.KVClaimer{Store: d.store, Prefix: "quarantine/probe/"},
		Log:     d.Log.WithName("quarantine"), Metrics: d.Metrics,
	}
	d.booking.Quarantine, d.proxy.Quarantine = d.quarantine, d.quarantine
	d.gatherer = &status.Gatherer{Self: d.Status, View: d.rosterNode.View, Exchanger: d.pool}
}

// initialMember returns this daemon's roster entry at start.
func (d *Daemon) initialMember() wire.Member {
	s := d.Settings
	return wire.Member{
		ID: d.id, Addr: addrPort(d.ControlListener.Addr()), Proxy: addrPort(d.ProxyListener.Addr()),
		Service: s.Service, Domain: s.Domain, Region: s.Region, Slots: uint16(s.Backend.Slots),
		StartedAt: time.Now().UnixMilli(),
	}
}

// newRecorder returns the recorder of a component's trace, nil when traces are not recorded.
func (d *Daemon) newRecorder(component string) *trace.Recorder {
	if d.NewRecorder == nil {
		return nil
	}
	return d.NewRecorder(component)
}

// notifyPeerAhead is called when a probe shows that a peer holds a higher version.
func (d *Daemon) notifyPeerAhead(from link.Peer, version uint64) {
	d.distributor.NotifyPeerAhead(from, version)
}

// ServeMessage passes a control message of another daemon to the component that handles its kind, and returns the reply.
func (d *Daemon) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	switch kind {
	case link.KindRosterDigest:
		return d.rosterNode.ServeMessage(ctx, from, kind, payload)
	case link.KindQuarantine:
		return d.quarantine.ServeMessage(ctx, from, kind, payload)
	case link.KindStatus:
		return d.gatherer.Serve(ctx, payload)
	default:
		return d.distributor.ServeMessage(ctx, from, kind, payload)
	}
}
