package agent

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Agent is one process beside one backend server.
type Agent struct {
	Settings     Settings
	SettingsFile string // settings file, read again when it changes; empty for none
	Store        registry.Store
	Keys         registry.Keys
	Headers      header.Names
	DecodeConfig func(value []byte) (*Config, error) // reads a configuration as the store holds it

	CallerListener    net.Listener
	LinkListener      net.Listener
	ReadyListener     net.Listener
	HeartbeatListener net.Listener
	MetricsListener   net.Listener // nil for none

	ReadyHandler     fasthttp.RequestHandler
	HeartbeatHandler fasthttp.RequestHandler

	Log     logr.Logger
	Metrics *metrics.Set // nil for a set of its own

	id        uint64
	pool      *link.Pool
	booking   *booking.Server
	proxy     *dispatch.Proxy
	follower  *registry.Follower
	announcer *registry.Announcer
	inForce   atomic.Pointer[inForce]
	leaving   atomic.Bool   // no client is to be sent here
	wake      chan struct{} // has the backend server looked at at once
	closed    atomic.Bool   // no call is admitted to the backend server
	stopCut   func() bool

	mu      sync.Mutex // held while a table is built
	members *roster.View

	localMu      sync.Mutex // held while the backend server's state changes
	local        registry.BackendState
	announced    wire.Member // as last given to the announcer
	drained      string      // instance whose drain has been written to the store
	drainedUntil time.Time   // start until which its incarnations have
	started      time.Time
	cleared      bool // the store has been asked whether the incarnation has left
}

const (
	queuedBytes = 1 << 20                // of uploads that may stand before a small message on a thin link
	listBytes   = 1 << 20                // of the largest answer of the store
	linkPing    = 250 * time.Millisecond // a link in use that is silent for four of them is taken for dead
	linkHello   = 500 * time.Millisecond // a VM that does not answer within it is not there
	coldStart   = 3 * time.Second        // in which a backend server that has started takes less than its share
	// budgetPart of the retry budget is used: the calls of a repeated run count as repeats too.
	budgetPart = 0.7
	startRetry = 200 * time.Millisecond // an agent that starts has its first configuration and members by then
	startWait  = 250 * time.Millisecond // for which a new agent lets callers wait for its first configuration
)

// ID returns the member ID by which the log lines of other agents name this one.
func (a *Agent) ID() uint64 { return a.id }

// Build wires the parts; Run does it when it has not been done.
func (a *Agent) Build() {
	if a.pool != nil {
		return
	}
	if a.Metrics == nil {
		a.Metrics = metrics.NewSet()
	}
	for a.id == 0 {
		a.id = rand.Uint64()
	}
	s := a.Settings
	a.wake = make(chan struct{}, 1)
	a.started = time.Now()
	a.members = roster.NewView(0, nil)
	a.local = registry.BackendState{Service: s.Service, Addr: s.Backend.Addr}
	a.booking = &booking.Server{
		Backend: settings.Backend{Addr: s.Backend.Addr, Slots: settings.DefaultSlots, Connections: settings.DefaultConnections, HealthPath: "/health"},
		Service: s.Service, Self: a.id, Document: a.document, Headers: a.Headers, UsesHeartbeats: true,
		Log: a.Log.WithName("booking"), Metrics: a.Metrics,
	}
	a.pool = &link.Pool{
		Self: a.id, Listener: a.LinkListener, Calls: a.booking, Messages: messages{a}, Insecure: true,
		Grace: s.StopGrace.Std(), Limits: link.Limits{Ping: linkPing + a.carry(queuedBytes)/4, Hello: linkHello + a.carry(queuedBytes), Rate: linkRate(s)}, Log: a.Log.WithName("link"), Metrics: a.Metrics,
	}
	a.booking.InboundDelay = a.pool.Arriving
	a.proxy = &dispatch.Proxy{
		Listener: a.CallerListener, Self: a.member, Table: a.table, Transport: a.pool, Headers: a.Headers, Limits: a.limits,
		Settings: a.dispatchSettings(), Grace: s.StopGrace.Std(), StartTimeout: startWait, Log: a.Log.WithName("dispatch"), Metrics: a.Metrics,
	}
	a.buildRegistry()
}

func (a *Agent) buildRegistry() {
	key := a.Keys.MemberPrefix + link.AddrOf(a.LinkListener.Addr()).String()
	pauses := &clock.Pauses{}
	a.follower = &registry.Follower{
		Store: a.Store, Keys: a.Keys, EntryKey: key, ID: a.id, Domain: a.Settings.Domain, MaxTransferTime: a.carry(listBytes), Exchanger: a.pool,
		OnConfig: a.takeConfig, OnMembers: a.takeMembers, OnEntryMissing: func() { a.announcer.MarkMissing() }, SuspendedFor: pauses.Since, Log: a.Log.WithName("registry"),
	}
	a.announcer = &registry.Announcer{Store: a.Store, Keys: a.Keys, EntryKey: key, MinTTL: a.Settings.Store.MinTTL.Std(), Log: a.Log.WithName("registry")}
}

func (a *Agent) dispatchSettings() dispatch.Settings {
	b := a.Settings.RetryBudget
	return dispatch.Settings{RetryShare: b.Share * budgetPart, SharedReserve: b.Reserve * budgetPart, SlowStart: coldStart, NotReadyRetry: startRetry, LinkRate: linkRate(a.Settings)}
}

// linkRate returns how many bytes a second the VM's own link carries.
func linkRate(s Settings) float64 { return s.LinkMbps * 1e6 / 8 }

// carry returns how long the VM's own link takes to carry n bytes.
func (a *Agent) carry(n int) time.Duration {
	return time.Duration(float64(n) / linkRate(a.Settings) * float64(time.Second))
}

// member returns what the agent announces of itself.
func (a *Agent) member() wire.Member {
	a.localMu.Lock()
	defer a.localMu.Unlock()
	return a.memberLocked()
}

func (a *Agent) memberLocked() wire.Member {
	s := a.Settings
	m := wire.Member{
		ID: a.id, Addr: link.AddrOf(a.LinkListener.Addr()), Service: s.Service, Domain: s.Domain, Region: s.Region,
		LinkMbps: uint32(s.LinkMbps), Slots: uint16(a.slotsLocked()), Ready: a.local.Instance() != "" && a.booking.Healthy(),
	}
	if b := a.local.StartedAt(); !b.IsZero() {
		m.StartedAt = b.UnixMilli()
	}
	if a.closed.Load() || a.local.Leaving() {
		m.State, m.Ready = wire.StateLeaving, false
	}
	return m
}

// slotsLocked returns how many calls the backend server runs at once, a usual number while it has not said.
func (a *Agent) slotsLocked() int {
	if n := a.local.Slots(); n > 0 {
		return n
	}
	return settings.DefaultSlots
}

// IsReady tells whether clients are to be sent here.
func (a *Agent) IsReady() bool { return a.inForce.Load() != nil && !a.leaving.Load() }
