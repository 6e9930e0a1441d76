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
	maxHeaderSize = 32 << 10 // bytes of a request's header
	// requestLineSize is how many bytes a buffer holds beside a header of the largest size.
	requestLineSize = 4 << 10
	maxConns        = 16384    // callers' connections
	earlyBody       = 1        // bytes of a request body that the HTTP library reads before the proxy sees the request
	prefetchSize    = 64 << 10 // bytes of a request body that are read before the call is dispatched
	defaultStall    = 60 * time.Second
	defaultGrace    = 30 * time.Second
	defaultStart    = 2 * time.Second
	startPoll       = 5 * time.Millisecond
	killWait        = 5 * time.Second
	endWait         = 150 * time.Millisecond // for the answers that a planned stop gives in place of the backend servers'
	maxRequestBody  = 256 << 20              // bytes
)

// Proxy is the HTTP server that callers speak to.
type Proxy struct {
	Listener     net.Listener
	Self         func() wire.Member
	Table        func() *Table // table in force, nil while the daemon is not ready
	Transport    link.Caller
	LookupParent func(token string) (Parent, bool) // looks up the call that a backend server is running
	Deposits     Deposits                          // nil refuses payments with an idempotency key
	Headers      header.Names                      // zero for the default ones
	Limits       func() Limits                     // bounds on what callers send, nil for the proxy's own
	Settings     Settings
	Grace        time.Duration // for requests in flight at a planned stop
	StartTimeout time.Duration // longest time for which a new proxy takes no connection because it knows no server of some service
	StallTimeout time.Duration // longest time without progress on a caller's connection
	Now          func() time.Time
	Rand         *rand.Rand // nil for Seeded with the seed of Record's header
	Log          logr.Logger
	Metrics      *metrics.Set
	Record       *trace.Recorder

	conns    *callerListener
	http     *fasthttp.Server // of connections made under the limits in force
	pool     workers.Pool
	base     context.Context
	kill     context.CancelFunc
	stopping atomic.Bool
	ending   chan struct{} // closed when the grace of a planned stop is over
	endOnce  sync.Once
	lastCall atomic.Uint64

	tracePrefix string
	counters    *counters

	mu      sync.Mutex
	core    *Core
	current *Table // table that the core knows

	ready sync.Once
}

// Run serves callers until ctx is over, then finishes the requests in flight within Grace.
func (p *Proxy) Run(ctx context.Context) error {
	p.init()
	defer p.kill()
	p.awaitServers(ctx)
	done := make(chan error, 1)
	go func() { done <- p.conns.serve(p.server) }()
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
	p.conns.abort()
}

// awaitServers waits until there is a table with a usable server of each service; callers' connections wait in the listener for as long.
func (p *Proxy) awaitServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.StartTimeout)
	defer cancel()
	tick := time.NewTicker(startPoll)
	defer tick.Stop()
	for {
		if t := p.Table(); t != nil && t.allServicesReady() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-p.base.Done():
			return
		case <-tick.C:
		}
	}
}

// init makes the parts that Run, Kill and Explain share.
func (p *Proxy) init() {
	p.ready.Do(func() {
		setDefault(&p.Grace, defaultGrace)
		setDefault(&p.StallTimeout, defaultStall)
		setDefault(&p.StartTimeout, defaultStart)
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
		p.initRandom()
		p.core = &Core{Settings: p.Settings, Rand: p.Rand}
		p.tracePrefix = strconv.FormatUint(rand.Uint64(), 36) + "-"
		p.counters = newCounters(p.Metrics)
		p.conns = newCallerListener(p.Listener, p.StallTimeout, p.limits)
		p.pool.Max = p.Settings.MaxCalls
		p.base, p.kill = context.WithCancel(context.Background())
		p.ending = make(chan struct{})
	})
}

// limits returns the bounds on what callers send.
func (p *Proxy) limits() Limits { return p.Limits().withDefaults(p.StallTimeout) }

// initRandom seeds the core as its recording says, so that a replay draws the same numbers.
func (p *Proxy) initRandom() {
	seed := rand.Int64()
	if p.Record != nil {
		p.Record.Header.Settings, _ = json.Marshal(p.Settings)
		seed = p.Record.Header.Seed
	}
	if p.Rand == nil {
		p.Rand = NewRand(seed)
	}
}

// stop finishes the requests in flight and cuts those that outlast Grace.
func (p *Proxy) stop() {
	p.stopping.Store(true)
	ctx, cancel := context.WithTimeout(p.base, p.Grace)
	defer cancel()
	p.conns.stop(ctx)
	if ctx.Err() == nil {
		return
	}
	cut := p.conns.open()
	p.Log.Info("requests ended", "count", len(cut), "reason", "grace is over", "grace", p.Grace.String())
	p.endOnce.Do(func() { close(p.ending) })
	answered, cancelAnswered := context.WithTimeout(p.base, endWait)
	defer cancelAnswered()
	p.conns.stop(answered)
	p.kill()
	p.conns.abort()
	last, cancelLast := context.WithTimeout(context.Background(), killWait)
	defer cancelLast()
	p.conns.stop(last)
}

// server returns the HTTP server of the next connection, whose buffer takes a header within the limit; only the listener's loop calls it.
func (p *Proxy) server() *fasthttp.Server {
	size := p.limits().HeaderBytes + requestLineSize
	if p.http != nil && p.http.ReadBufferSize == size {
		return p.http
	}
	p.http = &fasthttp.Server{
		Handler:                      p.serve,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		ReadBufferSize:               size,
		MaxRequestBodySize:           earlyBody,
		ErrorHandler:                 p.unreadable,
		Logger:                       serverLog{p.Log},
		ConnState:                    markIdle,
	}
	return p.http
}

// markIdle tells a caller's connection that its answer is written.
func markIdle(c net.Conn, s fasthttp.ConnState) {
	if cc, ok := c.(*callerConn); ok && s == fasthttp.StateIdle {
		cc.setBusy(false)
	}
}

// step gives the core an event and records what it decides.
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

// currentTable returns the table in force, after the core has been given it.
func (p *Proxy) currentTable() *Table {
	t := p.Table()
	if t == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t != p.current {
		p.current = t
		p.stepLocked(t.changeEvent(p.Self(), p.Now()))
	}
	return t
}

// member returns a member that the core has chosen, from the table that it chose from.
func (p *Proxy) member(id uint64) wire.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current.byID[id]
}
