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

// Agent is the daemon that runs next to one backend server. Set the exported fields before Build or Run.
type Agent struct {
	Settings     Settings
	SettingsFile string // read again when it changes; empty for none
	Store        registry.Store
	Keys         registry.Keys
	Headers      header.Names
	DecodeConfig func(value []byte) (*Config, error) // decodes the store's configuration value

	CallerListener    net.Listener
	LinkListener      net.Listener
	ReadyListener     net.Listener
	HeartbeatListener net.Listener
	MetricsListener   net.Listener // nil for none

	ReadyHandler     fasthttp.RequestHandler
	HeartbeatHandler fasthttp.RequestHandler

	Log     logr.Logger
	Metrics *metrics.Set // nil creates a new set

	id              uint64
	pool            *link.Pool
	booking         *booking.Server
	proxy           *dispatch.Proxy
	follower        *registry.Follower
	announcer       *registry.Announcer
	serving         atomic.Pointer[servingState]
	stopping        atomic.Bool   // the platform must not send clients here
	checkBackend    chan struct{} // triggers a check of the backend server at once
	admissionClosed atomic.Bool   // no more calls are admitted to the backend server
	cancelKill      func() bool

	tableMu    sync.Mutex // held while a routing table is built
	memberView *roster.View

	backendMu        sync.Mutex // held while the settings or the backend server's state change
	backend          registry.BackendState
	announcedEntry   wire.Member // last entry passed to the announcer
	drainedInstance  string      // instance whose tombstone has been written to the store
	drainedUntil     time.Time   // time of that tombstone
	startedAt        time.Time   // start of this agent
	tombstoneChecked bool        // a tombstone of the current incarnation has been ruled out
}

const (
	maxQueuedBytes   = 1 << 20                // bytes of uploads that may be queued ahead of a small message on a slow link
	maxListBytes     = 1 << 20                // bytes of the largest answer of the store
	linkPingInterval = 250 * time.Millisecond // a link in use that is silent for four intervals counts as dead
	linkHelloTimeout = 500 * time.Millisecond // a VM that does not answer within this time counts as unreachable
	slowStart        = 3 * time.Second        // in which a started backend server gets less than its share of calls
	// usedBudgetShare is the share of the retry budget that is used: the calls that a repeated attempt makes count as retries too.
	usedBudgetShare    = 0.7
	notReadyRetryDelay = 200 * time.Millisecond // a starting agent has its first configuration and members by then
	firstConfigTimeout = 250 * time.Millisecond // for which callers wait for a new agent's first configuration
)

// ID returns the agent's member ID, which the logs of other agents use.
func (a *Agent) ID() uint64 { return a.id }

// Build creates the agent's components. Run calls it if it has not been called.
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
	a.checkBackend = make(chan struct{}, 1)
	a.startedAt = time.Now()
	a.memberView = roster.NewView(0, nil)
	a.backend = registry.BackendState{Service: s.Service, Addr: s.Backend.Addr}
	a.booking = &booking.Server{
		Backend: settings.Backend{Addr: s.Backend.Addr, Slots: settings.DefaultSlots, Connections: settings.DefaultConnections, HealthPath: "/health"},
		Service: s.Service, Self: a.id, Document: a.document, Headers: a.Headers, UsesHeartbeats: true,
		Log: a.Log.WithName("booking"), Metrics: a.Metrics,
	}
	a.pool = &link.Pool{
		Self: a.id, Listener: a.LinkListener, Calls: a.booking, Messages: messageHandler{a}, Insecure: true,
		Grace: s.StopGrace.Std(), Limits: link.Limits{PingInterval: linkPingInterval + a.transferTime(maxQueuedBytes)/4, HandshakeTimeout: linkHelloTimeout + a.transferTime(maxQueuedBytes), Bandwidth: linkRate(s)}, Log: a.Log.WithName("link"), Metrics: a.Metrics,
	}
	a.booking.InboundDelay = a.pool.InboundDelay
	a.proxy = &dispatch.Proxy{
		Listener: a.CallerListener, Self: a.member, Table: a.table, Transport: a.pool, Headers: a.Headers, Limits: a.limits,
		Settings: a.dispatchSettings(), Grace: s.StopGrace.Std(), StartTimeout: firstConfigTimeout, Log: a.Log.WithName("dispatch"), Metrics: a.Metrics,
	}
	a.buildRegistry()
}

func (a *Agent) buildRegistry() {
	key := a.Keys.MemberPrefix + link.AddrOf(a.LinkListener.Addr()).String()
	pauses := &clock.Pauses{}
	a.follower = &registry.Follower{
		Store: a.Store, Keys: a.Keys, EntryKey: key, ID: a.id, Domain: a.Settings.Domain, MaxTransferTime: a.transferTime(maxListBytes), Exchanger: a.pool,
		OnConfig: a.applyConfig, OnMembers: a.updateMembers, OnEntryMissing: func() { a.announcer.MarkMissing() }, SuspendedFor: pauses.Since, Log: a.Log.WithName("registry"),
	}
	a.announcer = &registry.Announcer{Store: a.Store, Keys: a.Keys, EntryKey: key, MinTTL: a.Settings.Store.MinTTL.Std(), Log: a.Log.WithName("registry")}
}

func (a *Agent) dispatchSettings() dispatch.Settings {
	b := a.Settings.RetryBudget
	return dispatch.Settings{RetryShare: b.Share * usedBudgetShare, SharedRetryBurst: b.Reserve * usedBudgetShare, SlowStart: slowStart, NotReadyRetryAfter: notReadyRetryDelay, LinkRate: linkRate(a.Settings)}
}

// linkRate returns the speed of the VM's link in bytes per second.
func linkRate(s Settings) float64 { return s.LinkMbps * 1e6 / 8 }

// transferTime returns how long the VM's link takes to transfer n bytes.
func (a *Agent) transferTime(n int) time.Duration {
	return time.Duration(float64(n) / linkRate(a.Settings) * float64(time.Second))
}

// member returns the agent's entry.
func (a *Agent) member() wire.Member {
	a.backendMu.Lock()
	defer a.backendMu.Unlock()
	return a.memberLocked()
}

// memberLocked returns the agent's entry; a.backendMu is held.
func (a *Agent) memberLocked() wire.Member {
	s := a.Settings
	m := wire.Member{
		ID: a.id, Addr: link.AddrOf(a.LinkListener.Addr()), Service: s.Service, Domain: s.Domain, Region: s.Region,
		LinkMbps: uint32(s.LinkMbps), Slots: uint16(a.slotsLocked()), Ready: a.backend.Instance() != "" && a.booking.Healthy(),
	}
	if b := a.backend.StartedAt(); !b.IsZero() {
		m.StartedAt = b.UnixMilli()
	}
	if a.admissionClosed.Load() || a.backend.Leaving() {
		m.State, m.Ready = wire.StateLeaving, false
	}
	return m
}

// slotsLocked returns the number of calls that the backend server runs at once, a default until a heartbeat reports it; a.backendMu is held.
func (a *Agent) slotsLocked() int {
	if n := a.backend.Slots(); n > 0 {
		return n
	}
	return settings.DefaultSlots
}

// IsReady reports whether the platform may send clients here.
func (a *Agent) IsReady() bool { return a.serving.Load() != nil && !a.stopping.Load() }
