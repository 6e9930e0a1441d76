package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/clock"
)

// Header fields of a backend server.
const (
	HeaderToken       = "X-Request-Token"    // names a request, echoed in its answer
	HeaderKey         = "Idempotency-Key"    // names a payment
	HeaderDeadline    = "X-Deadline-Ms"      // milliseconds that the caller still waits
	HeaderNotRun      = "X-Not-Run"          // 1 on a refusal that did not run
	HeaderLimit       = "X-Limit-Per-Second" // requests a second that it takes from all callers together
	HeaderHandlerTime = "X-Handler-Time-Us"  // microseconds that the run took
)

const (
	maxUploadSize = 64 << 20 // bytes
	idleTimeout   = 2 * time.Minute
	coldFactor    = 4 // how many times as long work takes at the very start
)

// Backend stands for a backend server.
type Backend struct {
	Listener    net.Listener
	Name        string
	Service     string
	Slots       int           // requests it should be given at once
	Connections int           // connections it should be given at once
	ConnectCost time.Duration // of a new connection
	ColdStart   time.Duration // time after the start for which work is slower
	Work        time.Duration // of one request
	Jitter      float64       // share by which Work varies either way
	Seed        uint64        // of the jitter
	CrashPath   string        // path of requests under which it crashes after their work, empty for none
	Downtime    time.Duration // after a crash
	Start       BackendFaults // faults from the start
	Runs        *RunLog       // nil for an own log
	Log         logr.Logger

	once     sync.Once
	ctx      context.Context
	mu       sync.Mutex
	started  time.Time
	listener *backendListener
	faults   BackendFaults
	drained  time.Time // zero when not draining
	inFlight int
	requests uint64
	resets   atomic.Int64
}

// Resets returns the number of connections that were reset because the server was full.
func (b *Backend) Resets() int { return int(b.resets.Load()) }

// Run serves until ctx is over; requests in flight then end early. After a crash it serves again at
// the same address once Downtime has passed.
func (b *Backend) Run(ctx context.Context) error {
	b.setup()
	b.ctx = ctx
	for l := b.Listener; ; {
		err := b.serveUntilCrash(ctx, l)
		if !b.listener.isCrashed() || !clock.Sleep(ctx, b.Downtime) {
			return err
		}
		if l, err = net.Listen("tcp", b.Listener.Addr().String()); err != nil {
			return err
		}
	}
}

func (b *Backend) serveUntilCrash(ctx context.Context, l net.Listener) error {
	b.mu.Lock()
	b.started = time.Now()
	b.listener = &backendListener{Listener: l, b: b, conns: map[*backendConn]bool{}}
	b.mu.Unlock()
	server := &fasthttp.Server{
		Handler:               b.handle,
		Name:                  b.Name,
		MaxRequestBodySize:    maxUploadSize,
		StreamRequestBody:     true,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return serve(ctx, server, b.listener)
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.setup()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Faults returns the faults now in force.
func (b *Backend) Faults() BackendFaults {
	b.setup()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Drain begins to drain or ends it.
func (b *Backend) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !on:
		b.drained = time.Time{}
	case b.drained.IsZero():
		b.drained = time.Now()
	}
}

// Load returns what the load endpoint says.
func (b *Backend) Load() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Load{Server: b.Name, Slots: b.Slots, InFlight: b.inFlight, Draining: !b.drained.IsZero()}
	if b.faults.LieLoad {
		l.InFlight = 0
	}
	return l
}

func (b *Backend) setup() {
	b.once.Do(func() {
		b.faults = b.Start
		if b.Runs == nil {
			b.Runs = &RunLog{}
		}
	})
}
