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

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
	"github.com/yuccaport/yuccaport/src/workers"
)

const (
	defaultHeaderBytes = 32 << 10
	// requestLineSize is how many bytes a read buffer holds in addition to a header of the largest size.
	requestLineSize     = 4 << 10
	maxConns            = 16384    // callers' connections served at once
	preReadBodySize     = 1        // bytes of a request body that the HTTP library reads before the proxy sees the request
	prefetchSize        = 64 << 10 // bytes of a request body that are read before the call is dispatched
	defaultStallTimeout = 60 * time.Second
	defaultGrace        = 30 * time.Second
	defaultStartTimeout = 2 * time.Second
	startPollInterval   = 5 * time.Millisecond
	killTimeout         = 5 * time.Second        // for aborted connections to end
	refusalTimeout      = 150 * time.Millisecond // for refusing the requests still in flight when the grace period ends
	defaultBodyBytes    = 256 << 20
)

// Proxy is the HTTP reverse proxy to which callers send their requests.
type Proxy struct {
	Listener     net.Listener
	Self         func() wire.Member                // member that this proxy belongs to
	Table        func() *Table                     // table in force, nil while the daemon is not ready
	Transport    link.Caller                       // sends attempts to members
	LookupParent func(token string) (Parent, bool) // returns the call that a backend server is running
	Deposits     Deposits                          // nil refuses payments with an idempotency key
	Headers      header.Names                      // zero for header.Default
	Limits       func() Limits                     // bounds on callers' requests, nil for the defaults
	Settings     Settings                          // of the core
	Grace        time.Duration                     // for requests in flight at a planned stop
	StartTimeout time.Duration                     // longest time for which a new proxy accepts no connections because some service has no usable server
	StallTimeout time.Duration                     // longest time without progress on a caller's connection
	Now          func() time.Time
	Rand         *rand.Rand // nil for NewRand with the seed of Record's header
	Log          logr.Logger
	Metrics      *metrics.Set
	Record       *trace.Recorder // nil for no recording

	callerListener *callerListener
	httpServer     *fasthttp.Server // for connections accepted under the limits in force
	pool           workers.Pool
	baseCtx        context.Context // cancelled by Kill
	kill           context.CancelFunc
	stopping       atomic.Bool
	graceEnded     chan struct{} // closed when the grace period of a planned stop ends
	graceEndOnce   sync.Once
	lastCallID     atomic.Uint64

	traceIDPrefix string
	counters      *counters

	mu        sync.Mutex
	core      *Core
	coreTable *Table // table that the core has

	initOnce sync.Once
}

// Run serves callers until ctx is done, then finishes the requests in flight within Grace.
func (p *Proxy) Run(ctx context.Context) error {
	p.init()
	defer p.kill()
	p.awaitServers(ctx)
	done := make(chan error, 1)
	go func() { done <- p.callerListener.serve(p.connServer) }()
	var err error
	select {
	case err = <-done:
	case <-ctx.Done():
		p.stop()
		err = <-done
	}
	p.pool.StopAndWait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return problem.Wrap(problem.Unavailable, err, p.Listener.Addr().String(), "callers' listener failed", "check listen.proxy in the settings and restart the daemon")
	}
	return nil
}

// Kill ends Run at once and cuts the requests in flight.
func (p *Proxy) Kill() {
	p.init()
	p.kill()
	p.callerListener.abort()
}

// awaitServers waits up to StartTimeout for a table with a usable server of each service; meanwhile callers' connections wait in the listener.
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
		p.callerListener = newCallerListener(p.Listener, p.StallTimeout, p.limits)
		p.pool.Max = p.Settings.MaxCalls
		p.baseCtx, p.kill = context.WithCancel(context.Background())
		p.graceEnded = make(chan struct{})
	})
}

// limits returns the bounds on callers' requests in force.
func (p *Proxy) limits() Limits { return p.Limits().withDefaults(p.StallTimeout) }

// initRand seeds the core with the seed of its recording, so that a replay draws the same numbers.
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

// stop finishes the requests in flight, then refuses or cuts those that outlast Grace.
func (p *Proxy) stop() {
	p.stopping.Store(true)
	ctx, cancel := context.WithTimeout(p.baseCtx, p.Grace)
	defer cancel()
	p.callerListener.stop(ctx)
	if ctx.Err() == nil {
		return
	}
	remaining := p.callerListener.openConns()
	p.Log.Info("requests ended at the planned stop", "count", len(remaining), "reason", "grace period has ended", "grace", p.Grace.String())
	p.graceEndOnce.Do(func() { close(p.graceEnded) })
	refusalCtx, cancelRefusal := context.WithTimeout(p.baseCtx, refusalTimeout)
	defer cancelRefusal()
	p.callerListener.stop(refusalCtx)
	p.kill()
	p.callerListener.abort()
	killCtx, cancelKill := context.WithTimeout(context.Background(), killTimeout)
	defer cancelKill()
	p.callerListener.stop(killCtx)
}

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
		ConnState:                    markIdle,
	}
	return p.httpServer
}

// markIdle marks a caller's connection idle once its answer is written.
func markIdle(c net.Conn, s fasthttp.ConnState) {
	if cc, ok := c.(*callerConn); ok && s == fasthttp.StateIdle {
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

// member returns a member that the core has chosen, from the table that the core has.
func (p *Proxy) member(id uint64) wire.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coreTable.byID[id]
}
