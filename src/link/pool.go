package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
	"github.com/yuccaport/yuccaport/src/workers"
)

const drainCheckEvery = 20 * time.Millisecond

// Pool holds the links between this daemon and the others.
type Pool struct {
	Self     uint64                                                         // this member's ID
	Listener net.Listener                                                   // where other daemons dial in; nil takes no links
	Dial     func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // nil for plain TCP
	Calls    CallHandler                                                    // nil refuses every call
	Messages MessageHandler                                                 // nil refuses every message
	Keys     *Keys                                                          // nil: no TLS
	Insecure bool                                                           // without keys, allows addresses other than loopback
	Grace    time.Duration                                                  // time that calls in flight get to end once Run's context is over
	Limits   Limits                                                         // a zero field takes its default
	Log      logr.Logger
	Metrics  *metrics.Set

	once           sync.Once
	limits         Limits
	counters       *counters
	base           context.Context // ends when every link is to be closed
	stop           context.CancelFunc
	tasks          sync.WaitGroup
	handshakes     chan struct{}
	callWorkers    workers.Pool
	messageWorkers pond.Pool
	calls          budget
	memory         budget
	intake         *intake

	mu       sync.Mutex
	routes   map[Peer]*route
	conns    map[*connection]struct{}
	raw      map[net.Conn]time.Time // accepted at, hello awaited
	accepted int
	leaving  bool
	stopped  bool
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.limits = p.Limits.withDefaults()
		if p.Metrics == nil {
			p.Metrics = metrics.NewSet()
		}
		if p.Log.GetSink() == nil {
			p.Log = logr.Discard()
		}
		p.counters = newCounters(p.Metrics)
		p.base, p.stop = context.WithCancel(context.Background())
		p.handshakes = make(chan struct{}, p.limits.Handshakes)
		p.callWorkers.Max = p.limits.Calls
		p.messageWorkers = pond.NewPool(maxMessages, pond.WithQueueSize(maxMessages), pond.WithNonBlocking(true))
		p.calls.max = int64(p.limits.Calls)
		p.memory.max = int64(p.limits.Memory)
		p.intake = newIntake(p.limits.Bandwidth)
		p.routes = map[Peer]*route{}
		p.conns = map[*connection]struct{}{}
		p.raw = map[net.Conn]time.Time{}
	})
}

// Run accepts links until ctx is over, then lets the calls in flight end within Grace.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	if p.Listener != nil {
		p.mu.Lock()
		if !p.stopped {
			p.tasks.Add(1)
			go p.accept()
		}
		p.mu.Unlock()
	}
	select {
	case <-ctx.Done():
		p.drain()
	case <-p.base.Done():
	}
	p.shut(errStopped)
	p.tasks.Wait()
	p.callWorkers.StopAndWait()
	p.messageWorkers.StopAndWait()
	return nil
}

// drain takes no new links and calls, and waits until nothing is in flight or the grace is over.
func (p *Pool) drain() {
	p.closeListener()
	p.mu.Lock()
	p.leaving = true
	conns := p.list()
	p.mu.Unlock()
	for _, c := range conns {
		if !c.dialed {
			c.leave()
		}
	}
	over := time.NewTimer(p.Grace)
	defer over.Stop()
	check := time.NewTicker(drainCheckEvery)
	defer check.Stop()
	for p.busy() {
		select {
		case <-over.C:
			p.Log.Info("calls in flight were cut", "reason", "grace is over", "grace", p.Grace.String())
			return
		case <-check.C:
		case <-p.base.Done():
			return
		}
	}
}

// busy tells whether a call is in flight or an answer may still be on its way to a peer.
func (p *Pool) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.raw) > 0 {
		return true
	}
	for c := range p.conns {
		used, _ := c.usage()
		if used || !c.dialed { // the peer closes an accepted link when it has what it asked for
			return true
		}
	}
	return false
}

// InboundDelay returns the time that this VM's network connection needs for the request and answer bodies that peers are sending to it, or zero without Limits.Bandwidth.
func (p *Pool) InboundDelay() time.Duration {
	p.init()
	return p.intake.backlog()
}

func (p *Pool) list() []*connection {
	conns := make([]*connection, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

func (p *Pool) closeListener() {
	if p.Listener != nil {
		_ = p.Listener.Close()
	}
}

// shut closes every link.
func (p *Pool) shut(reason error) {
	p.closeListener()
	p.mu.Lock()
	p.stopped = true
	conns := p.list()
	for nc := range p.raw {
		_ = nc.Close()
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.fail(reason)
	}
	p.stop()
}

// Kill closes every link at once.
func (p *Pool) Kill() {
	p.init()
	p.shut(errKilled)
}

// Call sends a request and waits for the head of its answer; body is nil when there is none.
func (p *Pool) Call(ctx context.Context, to Peer, head wire.CallHead, body io.Reader) Outcome {
	p.init()
	if body == nil {
		head.BodyLength = 0
	}
	for {
		c, err := p.connect(ctx, to)
		if err != nil {
			return Refused{Refusal: refusalOf(ctx, err)}
		}
		o, reason := c.open(head)
		if reason == wire.ReasonLinkLost {
			p.forget(c)
			continue
		}
		if reason != wire.ReasonNone {
			return Refused{Refusal: wire.Refusal{Reason: reason}}
		}
		if head.BodyLength != 0 {
			o.startBody(body)
		}
		return o.await(ctx)
	}
}

// Exchange sends a payload of a kind; an error is of kind problem.Unavailable, problem.Busy or problem.Protocol.
func (p *Pool) Exchange(ctx context.Context, to Peer, kind MessageKind, payload []byte) ([]byte, error) {
	p.init()
	if len(payload) > maxMessage {
		return nil, protocolError("message", "payload is too large")
	}
	c, err := p.connect(ctx, to)
	if errors.Is(err, problem.Busy) || errors.Is(err, problem.Protocol) {
		return nil, err
	}
	if err != nil {
		return nil, problem.Wrap(problem.Unavailable, err, to.Addr.String(), "no link", "try another member")
	}
	return c.ask(ctx, kind, payload)
}
