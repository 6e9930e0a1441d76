package agent

import (
	"cmp"
	"math/rand/v2"
	"net"
	"os"
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
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Agent is the sidecar proxy of one backend server.
//
// Its exported fields are set before Build. Settings, Store, Keys, DecodeConfig, both handlers and all listeners but MetricsListener are required. DecodeConfig must be safe for concurrent use. Run must be called at most once. The other methods may be called concurrently once Build has returned; the handlers may always call them, since Run serves after Build.
type Agent struct {
	Settings     Settings         // Run changes StopGrace and Heartbeat on a reload; not to be read while Run runs
	SettingsFile string           // read again when it changes and on each value of Reload; if empty, the settings are not reloaded
	Reload       <-chan os.Signal // nil for none
	Store        registry.Store
	Keys         registry.Keys
	Headers      header.Names                        // zero for header.Default
	DecodeConfig func(value []byte) (*Config, error) // decodes the store's configuration value

	Rollouts *RolloutFormat // required if Keys.RolloutPrefix is set

	ConfigVersion func(value []byte) uint64 // version of the store's configuration value, 0 if it cannot be read; if nil, the store's revisions alone order configurations

	CallerListener    net.Listener
	LinkListener      net.Listener
	ReadyListener     net.Listener
	HeartbeatListener net.Listener
	MetricsListener   net.Listener // if nil, metrics are not served

	ReadyHandler     fasthttp.RequestHandler // serves ReadyListener; should answer with the result of IsReady
	HeartbeatHandler fasthttp.RequestHandler // serves HeartbeatListener; should pass the messages to HandleHeartbeat, HandleLeave and HandleInvalidHeartbeat

	Log     logr.Logger
	Metrics *metrics.Set // if nil, Build creates a set

	id              uint64
	pool            *link.Pool
	booking         *booking.Server
	quarantine      *quarantine.Node
	rollout         *rollout.Node // nil without Keys.RolloutPrefix
	quota           *tenants.Node
	proxy           *dispatch.Proxy
	follower        *registry.Follower
	announcer       *registry.Announcer
	serving         atomic.Pointer[servingState]
	stopping        atomic.Bool   // the agent is stopping, after a cancellation or a failure; IsReady then reports false
	backendCheck    chan struct{} // wakes watchBackend for a check at once
	refusesNewCalls atomic.Bool   // new calls to the backend server are refused because the agent is stopping; queued calls still run
	cancelKill      func()        // ends the task that calls kill; set by stop

	tableMu    sync.Mutex   // guards memberView and the replacement of serving
	memberView *roster.View // its digest is not used

	backendMu         sync.Mutex            // guards the fields below; reload replaces Settings under it
	backend           registry.BackendState // an incarnation is one run of the backend server, given by instance ID and start time; a tombstone covers the incarnations of an instance ID up to a start time
	announcedEntry    wire.Member           // member entry last passed to the announcer
	tombstoneInstance string                // instance ID whose tombstone this agent has written last
	tombstoneStart    time.Time             // latest start time of the incarnations that this tombstone covers
	agentStartedAt    time.Time             // start of this agent
	tombstoneRuledOut bool                  // no tombstone written by an earlier agent covers the current incarnation; false while that is unknown
}

const (
	assumedQueuedBytes = 1 << 20                // bytes of call bodies that may precede a small message on a link; timeouts of links allow for their transfer
	assumedListBytes   = 1 << 20                // size of the largest list that the store returns; timeouts of the follower allow for its transfer
	linkPingInterval   = 250 * time.Millisecond // base value, to which Build adds a transfer time; a link in use without an answer for four intervals counts as dead
	linkHelloTimeout   = 500 * time.Millisecond // base value, to which Build adds a transfer time; a VM that does not answer in time counts as unreachable
	slowStartTime      = 3 * time.Second        // time after its start for which a backend server gets less than its share of calls; independent of the cold start that its heartbeats report
	// usedBudgetShare is the share of Settings.RetryBudget that the agent uses, since the calls that a retried call makes count as retries too.
	usedBudgetShare    = 0.7
	notReadyRetryAfter = 200 * time.Millisecond // Retry-After of a call that this agent refuses for lack of a configuration or a member; a starting agent has both by then
	answerMemoryPart   = 16                     // of the memory that the process may use, for answers that are held
	startTimeout       = 250 * time.Millisecond // longest time that calls wait for a new agent to get a configuration and a ready member of each service
)

// ID returns the agent's member ID, which Build chooses at random and other agents use in their logs. It is 0 before Build.
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
	a.Metrics.GetOrCreateGauge("yuccaport_store_era", func() float64 { return float64(a.Store.Era()) })
	a.backendCheck = make(chan struct{}, 1)
	a.agentStartedAt = time.Now()
	a.memberView = roster.NewView(0, nil)
	a.backend = registry.BackendState{Service: s.Service, Addr: s.Backend.Addr}
	a.booking = &booking.Server{
		Backend: settings.Backend{Addr: s.Backend.Addr, Slots: settings.DefaultSlots, Connections: settings.DefaultConnections, HealthPath: "/health"},
		Service: s.Service, Self: a.id, Document: a.serviceDocument, Headers: a.Headers, UsesHeartbeats: true, Policy: s.Admission.Policy,
		Log: a.Log.WithName("booking"), Metrics: a.Metrics,
	}
	// Four intervals without an answer count as a dead link; together they outlast the transfer of assumedQueuedBytes.
	a.pool = &link.Pool{
		Self: a.id, Listener: a.LinkListener, Calls: a.booking, Messages: messageHandler{a}, Insecure: true,
		Grace: s.StopGrace.Std(), Limits: link.Limits{PingInterval: linkPingInterval + a.transferTime(assumedQueuedBytes)/4, HandshakeTimeout: linkHelloTimeout + a.transferTime(assumedQueuedBytes), Bandwidth: linkRate(s), Memory: s.bodyMemory(), Links: s.Descriptors / linksDivisor}, Log: a.Log.WithName("link"), Metrics: a.Metrics,
	}
	a.booking.OnLeaving = a.handleLeavingAnswer
	a.booking.BodyMemory = int64(s.bodyMemory())
	a.booking.ResetsWhenFull = s.Backend.ResetsWhenFull
	a.booking.StartedAt = a.backendStartedAt
	a.booking.HasTenants = func() bool { t := a.table(); return t != nil && t.Tenants != nil }
	a.booking.InboundDelay, a.booking.OutboundDelay, a.booking.LinkRate = a.pool.InboundDelay, a.pool.OutboundDelay, linkRate(s)
	a.proxy = &dispatch.Proxy{
		Listener: a.CallerListener, Self: a.member, Table: a.table, Transport: a.pool, Headers: a.Headers, Limits: a.limits,
		Settings: a.dispatchSettings(), Grace: s.StopGrace.Std(), StartTimeout: startTimeout, Log: a.Log.WithName("dispatch"), Metrics: a.Metrics,
		HoldOpen: a.booking.MayRun, Conns: s.Descriptors / callerConnsDivisor, ConnMemory: int64(s.memoryShare()), Memory: int64(s.memoryShare()), AnswerMemory: int64(s.MemoryMB) << 20 / answerMemoryPart,
	}
	a.buildRegistry()
	a.proxy.KeysOutdated = (&keyAge{revocation: s.Revocation, follower: a.follower, log: a.Log.WithName("tenants")}).isOutdated
	a.quarantine = &quarantine.Node{Self: a.id, Members: a.follower.Members, Exchanger: a.pool, Log: a.Log.WithName("quarantine"), Metrics: a.Metrics}
	if a.Keys.ProbePrefix != "" {
		a.quarantine.Claimer = &quarantine.RegistryClaimer{Store: a.Store, Prefix: a.Keys.ProbePrefix}
	}
	a.buildRollout()
	a.quota = &tenants.Node{
		Self: a.id, Members: a.follower.Members, Exchanger: a.pool, Log: a.Log.WithName("tenants"), Metrics: a.Metrics,
		Quota: tenants.Quota{Window: s.Quota.Window.Std(), Over: s.Quota.Over, Slack: s.Quota.Slack},
	}
	a.proxy.Quota = a.quota
	a.booking.Quarantine, a.proxy.Quarantine = a.quarantine, a.quarantine
	a.pool.OnPeer = a.follower.OfferPeer
}

func (a *Agent) buildRegistry() {
	key := a.Keys.MemberPrefix + link.AddrOf(a.LinkListener.Addr()).String()
	pauses := &clock.Pauses{}
	a.follower = &registry.Follower{
		Store: a.Store, Keys: a.Keys, EntryKey: key, ID: a.id, Domain: a.Settings.Domain, MaxTransferTime: a.transferTime(assumedListBytes), MaxStaleness: a.Settings.Store.MaxStaleness.Std(), Exchanger: a.pool, ConfigVersion: a.ConfigVersion,
		OnConfig: a.applyConfig, OnMembers: a.updateMembers, OnEntryMissing: func() { a.announcer.MarkEntryMissing() }, SuspendedFor: pauses.Since, Log: a.Log.WithName("registry"), Metrics: a.Metrics,
	}
	a.announcer = &registry.Announcer{Store: a.Store, Keys: a.Keys, EntryKey: key, MinTTL: a.Settings.Store.MinTTL.Std(), Log: a.Log.WithName("registry")}
}

func (a *Agent) dispatchSettings() dispatch.Settings {
	b := a.Settings.RetryBudget
	return dispatch.Settings{RetryShare: b.Share * usedBudgetShare, SharedRetryBurst: b.Reserve * usedBudgetShare, SlowStart: slowStartTime, NotReadyRetryAfter: notReadyRetryAfter, LinkRate: linkRate(a.Settings), PreferDomain: a.Settings.Dispatch.PreferDomain, PreferDomainIfShared: a.Settings.Dispatch.PreferDomainIfShared, ExposureShare: a.Settings.Rollout.WithDefaults().MaxShare, DepartureTime: a.departureTime(), StopGrace: a.Settings.StopGrace.Std()}
}

// departureTime returns the time in which a change at a backend server reaches all agents: its next
// heartbeat, and the distribution of the entry.
func (a *Agent) departureTime() time.Duration {
	return a.Settings.Heartbeat.Std() + cmp.Or(a.Settings.Store.MaxStaleness.Std(), registry.DefaultMaxStaleness)
}

// linkRate returns the speed of the VM's link in bytes per second.
func linkRate(s Settings) float64 { return s.LinkMbps * 1e6 / 8 }

// transferTime returns how long the VM's link takes to transfer n bytes.
func (a *Agent) transferTime(n int) time.Duration {
	return time.Duration(float64(n) / linkRate(a.Settings) * float64(time.Second))
}

// backendStartedAt returns the start of the backend server, zero if it is unknown.
func (a *Agent) backendStartedAt() time.Time {
	a.backendMu.Lock()
	defer a.backendMu.Unlock()
	return a.backend.StartedAt()
}

// member returns the agent's member entry.
func (a *Agent) member() wire.Member {
	a.backendMu.Lock()
	defer a.backendMu.Unlock()
	return a.memberLocked()
}

// memberLocked returns the agent's member entry; the caller must hold a.backendMu.
func (a *Agent) memberLocked() wire.Member {
	s := a.Settings
	m := wire.Member{
		ID: a.id, Addr: link.AddrOf(a.LinkListener.Addr()), Service: s.Service, Domain: s.Domain, Region: s.Region,
		LinkMbps: uint32(s.LinkMbps), Slots: uint16(a.slotsLocked()), Ready: a.backend.Instance() != "" && a.booking.Healthy() && a.knowsRollouts(),
	}
	m.Version = a.backend.Version()
	if startedAt := a.backend.StartedAt(); !startedAt.IsZero() {
		m.StartedAt = startedAt.UnixMilli()
	}
	if a.refusesNewCalls.Load() || a.backend.Leaving() {
		m.State, m.Ready = wire.StateLeaving, false
	}
	return m
}

// slotsLocked returns the number of calls that the backend server runs at once, a default until a heartbeat reports it; the caller must hold a.backendMu.
func (a *Agent) slotsLocked() int {
	if n := a.backend.Slots(); n > 0 {
		return n
	}
	return settings.DefaultSlots
}

// IsReady reports whether the agent has a configuration in force, has asked peers for a newer one
// if that holds tenants, and is not stopping, so that the platform may route clients to it. It is
// independent of wire.Member.Ready, which reports whether the backend server can serve calls.
func (a *Agent) IsReady() bool {
	s := a.serving.Load()
	return s != nil && !a.stopping.Load() && (s.table.Tenants == nil || a.follower.HasAskedPeers())
}
