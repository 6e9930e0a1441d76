package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/drain"
	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
	"github.com/yuccaport/yuccaport/src/workers"
)

const (
	defaultHeaderBytes = 32 << 10
	// requestLineSize is the space in a read buffer for the request line, in bytes, in addition to the largest header.
	requestLineSize     = 4 << 10
	defaultConns        = 16384
	defaultMemory       = 256 << 20 // bytes
	defaultConnMemory   = 1 << 30   // bytes
	connOverhead        = 8 << 10   // bytes of a connection beside the buffer of a header: the buffer of an answer and stacks
	preReadBodySize     = 1         // bytes of a request body that the HTTP library reads before the proxy sees the request; 0 would mean the library's default of 4 MB
	prefetchSize        = 64 << 10  // bytes of a request body that are read before the call is dispatched
	defaultStallTimeout = 60 * time.Second
	defaultGrace        = 30 * time.Second
	defaultStartTimeout = 2 * time.Second
	startPollInterval   = 5 * time.Millisecond
	killTimeout         = 5 * time.Second        // for aborted connections to end
	refusalTimeout      = 150 * time.Millisecond // for refusing the requests still in flight when Grace ends
	defaultBodyBytes    = 256 << 20
)

// Proxy is the HTTP reverse proxy to which callers send their requests.
//
// Its fields are set before the first call of a method; Listener, Self, Table and Transport are required, and a zero Grace, StartTimeout or StallTimeout stands for its default. Its function fields are called concurrently. Run, Kill and Explain may also be called concurrently.
type Proxy struct {
	Listener     net.Listener
	Self         func() wire.Member                // returns the member of this daemon
	Table        func() *Table                     // returns the table in force, nil while there is none
	Transport    link.Caller                       // sends attempts to members
	LookupParent func(token string) (Parent, bool) // returns the call that a backend server is running, by the token that it sends in Yuccaport-Parent; nil if calls have no parents
	Deposits     Deposits                          // nil to refuse payments
	Quarantine   *quarantine.Node                  // keeps requests away that crash backend servers; nil for none
	Quota        Quota                             // limits the requests of tenants; nil for no limits
	KeysOutdated func() bool                       // reports whether the keys in force are too old to admit requests by them; nil if they never are
	Headers      header.Names                      // zero for header.Default
	Limits       func() Limits                     // bounds on callers' requests, nil for the defaults
	Settings     Settings                          // of the core
	Grace        time.Duration                     // for requests in flight at a graceful shutdown without Drain
	HoldOpen     func() bool                       // reports whether connections are still accepted after the handover of a planned stop, as while the backend server runs calls that may make calls of their own; nil for never
	StartTimeout time.Duration                     // longest time that Run waits, before it accepts connections, until every service has a member that is alive and ready
	AnswerMemory int64                             // bytes of long answers that are held until they are complete, so that the call can be sent again if they are lost on the way; 0 to hold first bytes alone
	StallTimeout time.Duration                     // longest time without progress on a caller's connection
	Conns        int                               // callers' connections served at once, 0 for 16,384; idle ones are closed for new ones, and a request on one beyond these is refused as not run
	ConnMemory   int64                             // bytes for the buffers of callers' connections, which bound Conns too; 0 for 1 GiB
	Memory       int64                             // bytes of request bodies and short answers that are held, 0 for 256 MiB; a request whose body finds no room is refused as not run
	Now          func() time.Time                  // nil for time.Now
	Rand         *rand.Rand                        // nil for NewRand with the seed of Record's header, or with a random one if Record is nil
	Log          logr.Logger
	Metrics      *metrics.Set    // nil for a set of the proxy's own
	Record       *trace.Recorder // nil for no recording; the proxy sets the settings in its header

	callerListener *callerListener
	httpServer     *fasthttp.Server // for connections accepted under the limits in force
	pool           workers.Pool
	baseCtx        context.Context // cancelled by Kill and when Run returns
	kill           context.CancelFunc
	plan           atomic.Pointer[drain.Plan] // of the planned stop, nil before it
	draining       chan struct{}              // closed when plan is set
	graceEnded     chan struct{}              // closed at the last answer of a planned stop
	graceEndOnce   sync.Once
	lastCallID     atomic.Uint64

	traceIDPrefix string
	counters      *counters
	answerMemory  answerMemory
	cuts          *cuts

	mu        sync.Mutex
	core      *Core
	coreTable *Table // table last passed to the core

	initOnce sync.Once
}

// Run waits up to StartTimeout until every service has a member that is alive and ready, then serves callers until Drain is called or ctx is done.
//
// At the handover of the plan, or at once if ctx is done without one, it accepts no more connections unless HoldOpen says so, takes only requests that end in time, lets those in flight finish, and refuses or aborts the rest. It returns once all connections have ended; an error is of kind problem.Unavailable. Run must be called at most once.
func (p *Proxy) Run(ctx context.Context) error {
	p.init()
	defer p.kill()
	p.awaitServers(ctx)
	done := make(chan error, 1)
	go func() { done <- p.callerListener.serve(p.connServer) }()
	var err error
	select {
	case err = <-done:
	case <-p.draining:
		p.stop()
		err = <-done
	case <-ctx.Done():
		p.Drain(drain.Plan{Signal: clock.NowWithSuspension(), LastAnswer: p.Grace, Kill: p.Grace + refusalTimeout})
		p.stop()
		err = <-done
	}
	p.pool.StopAndWait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return problem.Wrap(problem.Unavailable, err, p.Listener.Addr().String(), "callers' listener failed", "check listen.proxy in the settings and restart the daemon")
	}
	return nil
}

// Kill aborts the requests in flight, resets the callers' connections and makes Run return. It may be called from any goroutine, also before Run.
func (p *Proxy) Kill() {
	p.init()
	p.cuts.endAll(cut.KillTimer)
	p.kill()
	p.callerListener.abort()
}

// Drain begins a planned stop; further calls have no effect. It may be called from any goroutine, also before Run.
func (p *Proxy) Drain(plan drain.Plan) {
	p.init()
	if p.plan.CompareAndSwap(nil, &plan) {
		p.StopBegan(plan.Signal)
		p.step(StopBegan{EndWithin: plan.Left(clock.NowWithSuspension(), plan.LastAnswer)})
		close(p.draining)
	}
}

// awaitServers waits up to StartTimeout for a table in which every service has a member that is alive and ready; meanwhile callers' connections wait in the listener.
func (p *Proxy) awaitServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.StartTimeout)
	defer cancel()
	tick := time.NewTicker(startPollInterval)
	defer tick.Stop()
	for {
		if t := p.Table(); t != nil && t.allServicesReady() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.baseCtx.Done():
			return
		case <-tick.C:
		}
	}
}

// init prepares the proxy for Run, Kill and Explain, once.
func (p *Proxy) init() {
	p.initOnce.Do(func() {
		setDefault(&p.Grace, defaultGrace)
		setDefault(&p.StallTimeout, defaultStallTimeout)
		setDefault(&p.StartTimeout, defaultStartTimeout)
		setDefault(&p.Conns, defaultConns)
		setDefault(&p.Memory, defaultMemory)
		setDefault(&p.ConnMemory, defaultConnMemory)
		p.answerMemory.max = p.AnswerMemory
		if p.Now == nil {
			p.Now = time.Now
		}
		if p.Metrics == nil {
			p.Metrics = metrics.NewSet()
		}
		if p.Headers == (header.Names{}) {
			p.Headers = header.Default()
		}
		if p.Limits == nil {
			p.Limits = func() Limits { return Limits{} }
		}
		p.Settings = p.Settings.WithDefaults()
		p.initRand()
		p.core = &Core{Settings: p.Settings, Rand: p.Rand}
		p.traceIDPrefix = strconv.FormatUint(rand.Uint64(), 36) + "-"
		p.counters = newCounters(p.Metrics)
		p.cuts = newCuts(p)
		p.callerListener = newCallerListener(p.Listener, p.StallTimeout, p.limits, p.maxConns)
		p.callerListener.cuts = p.cuts
		p.callerListener.memory = newMemory(p.Memory)
		p.Metrics.GetOrCreateGauge("yuccaport_dispatch_memory_bytes", func() float64 { return float64(p.callerListener.memory.used.Load()) })
		p.Metrics.GetOrCreateGauge("yuccaport_dispatch_held_bytes", func() float64 { return float64(p.callerListener.heldBytes.Load()) })
		p.pool.Max = p.Settings.MaxCalls
		p.baseCtx, p.kill = context.WithCancel(context.Background())
		p.draining, p.graceEnded = make(chan struct{}), make(chan struct{})
		if p.HoldOpen == nil {
			p.HoldOpen = never
		}
	})
}

// phase returns how far the planned stop is.
func (p *Proxy) phase() drain.Phase {
	plan := p.plan.Load()
	if plan == nil {
		return drain.PhaseNone
	}
	return plan.Phase(clock.NowWithSuspension())
}

// limits returns the bounds on callers' requests in force.
func (p *Proxy) limits() Limits { return p.Limits().withDefaults(p.StallTimeout) }

// maxConns returns the number of callers' connections beyond which requests are refused.
func (p *Proxy) maxConns() int {
	return max(1, min(p.Conns, int(p.ConnMemory/int64(p.limits().HeaderBytes+requestLineSize+connOverhead))))
}

// initRand seeds the core, with the recording's seed if there is one so that a replay draws the same numbers, and completes the recording's header.
func (p *Proxy) initRand() {
	seed := rand.Int64()
	if p.Record != nil {
		p.Record.Header.Settings, _ = json.Marshal(p.Settings)
		seed = p.Record.Header.Seed
	}
	if p.Rand == nil {
		p.Rand = NewRand(seed)
	}
}

// stop carries out the plan of a planned stop.
func (p *Proxy) stop() {
	plan := p.plan.Load()
	_ = plan.Await(p.baseCtx, plan.Handover)
	if p.finishBy(plan.LastAnswer, p.HoldOpen) {
		return
	}
	remaining := p.callerListener.openConns()
	p.Log.Info("ending open connections at graceful shutdown", "count", len(remaining), "reason", "grace period has ended", "after", plan.LastAnswer.String())
	p.graceEndOnce.Do(func() { close(p.graceEnded) })
	p.finishBy(plan.Kill, never)
	p.cuts.endAll(cut.ProxyGrace)
	p.kill()
	p.callerListener.abort()
	killCtx, cancelKill := context.WithTimeout(context.Background(), killTimeout)
	defer cancelKill()
	p.callerListener.stop(killCtx, never)
}

// finishBy waits for the end of all connections and reports whether they have ended by a moment of the plan, or all at once if the proxy is killed.
func (p *Proxy) finishBy(moment time.Duration, holdOpen func() bool) bool {
	ctx, cancel := context.WithCancel(p.baseCtx)
	defer cancel()
	go func() {
		_ = p.plan.Load().Await(ctx, moment)
		cancel()
	}()
	p.callerListener.stop(ctx, holdOpen)
	return ctx.Err() == nil
}

func never() bool { return false }

// connServer returns the HTTP server of the next connection, whose buffer holds a header within the limit; only the listener's accept loop calls it.
func (p *Proxy) connServer() *fasthttp.Server {
	size := p.limits().HeaderBytes + requestLineSize
	if p.httpServer != nil && p.httpServer.ReadBufferSize == size {
		return p.httpServer
	}
	p.httpServer = &fasthttp.Server{
		Handler:                      p.serve,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		ReadBufferSize:               size,
		MaxRequestBodySize:           preReadBodySize,
		ErrorHandler:                 p.handleReadError,
		Logger:                       httpServerLog{p.Log},
		SecureErrorLogMessage:        true, // its errors would hold the header, and with it a tenant's key
		ConnState:                    markIdle,
	}
	return p.httpServer
}

// markIdle marks a caller's connection idle once its answer is written.
func markIdle(c net.Conn, s fasthttp.ConnState) {
	if cc, ok := c.(*callerConn); ok && s == fasthttp.StateIdle {
		cc.answerFlushed()
		cc.setBusy(false)
	}
}

// step passes an event to the core, records the resulting actions and returns them.
func (p *Proxy) step(e Event) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stepLocked(e)
}

func (p *Proxy) stepLocked(e Event) []Action {
	now := p.Now()
	actions := p.core.Step(now, e)
	if p.Record != nil {
		if out, err := trace.Outcomes(actions); err == nil {
			p.Record.Record(now, e, out)
		}
	}
	return actions
}

// SetRouting passes the routing of a service under a rollout order to the core, zero when the order
// has ended. It may be called from any goroutine, also before Run.
func (p *Proxy) SetRouting(serviceName string, r rollout.Routing) {
	p.init()
	p.step(RoutingChanged{Service: serviceName, Routing: r})
}

// currentTable returns the table in force, nil while there is none; it passes a new table to the core first.
func (p *Proxy) currentTable() *Table {
	t := p.Table()
	if t == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t != p.coreTable {
		p.coreTable = t
		p.stepLocked(t.changeEvent(p.Self(), p.Now()))
	}
	return t
}

// member returns a member that the core has chosen, from the table last passed to the core.
func (p *Proxy) member(id uint64) wire.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coreTable.byID[id]
}
