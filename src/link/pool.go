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

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
	"github.com/yuccaport/yuccaport/src/workers"
)

const drainPollInterval = 20 * time.Millisecond

// Pool manages the links between this daemon and others. It implements Caller and Exchanger.
//
// The exported fields are set before the first method call. Call, Exchange, InboundDelay, OutboundDelay and Kill may be called concurrently and without Run; a Pool whose Run is not called only dials.
type Pool struct {
	Self     uint64                                                         // ID of this member
	Listener net.Listener                                                   // accepts links from other daemons; nil for none
	Dial     func(ctx context.Context, to netip.AddrPort) (net.Conn, error) // nil for plain TCP
	Calls    CallHandler                                                    // nil refuses every call
	Messages MessageHandler                                                 // nil refuses every message
	OnPeer   func(Peer)                                                     // called when a member that accepts links itself has dialled this one, also if it expected another member here; must not block; nil for nothing
	Keys     *Keys                                                          // nil for no TLS
	Insecure bool                                                           // allows links without TLS to addresses other than loopback
	Grace    time.Duration                                                  // time for calls in flight to finish once the context of Run is done; 0 cuts them at once
	Limits   Limits
	Log      logr.Logger  // discarded if not set
	Metrics  *metrics.Set // nil for a new set

	once           sync.Once
	limits         Limits
	counters       *counters
	cuts           cut.Recorder
	baseCtx        context.Context // cancelled when all links are closed
	cancelBase     context.CancelFunc
	tasks          sync.WaitGroup
	dialSlots      chan struct{} // semaphore of Limits.Handshakes
	callWorkers    workers.Pool
	messageWorkers pond.Pool
	callBudget     budget
	memoryBudget   budget
	recvLimiter    *recvLimiter
	noRecvLimit    *recvLimiter // for links to this VM itself
	sendLimiter    *sendLimiter

	mu            sync.Mutex
	peerLinks     map[Peer]*peerLink // by the Peer that was asked for: ID 0 and another ID at one address have separate links
	conns         map[*connection]struct{}
	handshaking   map[net.Conn]time.Time // accepted links without a hello yet, with the time they were accepted
	acceptedLinks int                    // number of accepted links, those in the handshake included
	draining      bool
	stopped       bool
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
		p.cuts.Counter, p.cuts.Log, p.cuts.Metrics = "yuccaport_link_calls_cut_total", p.Log, p.Metrics
		p.baseCtx, p.cancelBase = context.WithCancel(context.Background())
		p.dialSlots = make(chan struct{}, p.limits.Handshakes)
		p.callWorkers.Max = p.limits.Calls
		p.messageWorkers = pond.NewPool(maxConcurrentMessages, pond.WithQueueSize(maxConcurrentMessages), pond.WithNonBlocking(true))
		p.callBudget.max = int64(p.limits.Calls)
		p.memoryBudget.max = int64(p.limits.Memory)
		p.recvLimiter = newRecvLimiter(p.limits.Bandwidth)
		p.noRecvLimit = newRecvLimiter(0)
		p.sendLimiter = newSendLimiter(p.limits.Bandwidth)
		p.peerLinks = map[Peer]*peerLink{}
		p.conns = map[*connection]struct{}{}
		p.handshaking = map[net.Conn]time.Time{}
	})
}

// Run accepts links until ctx is done, then lets the calls in flight finish within Grace and closes all links. It returns nil once all links are closed and all handlers have returned, also after Kill. It must be called at most once.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	if p.Listener != nil {
		p.mu.Lock()
		if !p.stopped {
			p.tasks.Add(1)
			go p.acceptLoop()
		}
		p.mu.Unlock()
	}
	select {
	case <-ctx.Done():
		p.drain()
	case <-p.baseCtx.Done():
	}
	p.closeLinks(errPoolStopped)
	p.tasks.Wait()
	p.callWorkers.StopAndWait()
	p.messageWorkers.StopAndWait()
	return nil
}

// drain stops accepting links, inbound calls and inbound messages, and waits until nothing is in flight or the grace period has ended. Until then this daemon can still dial links and open calls.
func (p *Pool) drain() {
	p.closeListener()
	p.mu.Lock()
	p.draining = true
	for nc := range p.handshaking { // the peer has not opened a call yet
		_ = nc.SetReadDeadline(time.Now().Add(contendedHandshakeTimeout))
	}
	conns := p.listConnections()
	p.mu.Unlock()
	for _, c := range conns {
		if !c.dialed {
			c.startDrain()
		}
	}
	graceTimer := time.NewTimer(p.Grace)
	defer graceTimer.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for p.busy() {
		select {
		case <-graceTimer.C:
			p.Log.Info("links were closed before they had drained", "reason", "grace period has ended", "grace", p.Grace.String())
			return
		case <-ticker.C:
		case <-p.baseCtx.Done():
			return
		}
	}
}

// busy reports whether a call is in flight, an accepted link is in its handshake, or an answer may still be on its way to a peer. Messages to peers do not count: a running component would send ever more of them.
func (p *Pool) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.handshaking) > 0 {
		return true
	}
	for c := range p.conns {
		if !c.dialed || c.hasOutboundCalls() { // the peer closes an accepted link once it has received all answers
			return true
		}
	}
	return false
}

// InboundDelay returns the time that this VM's network connection needs for the request and answer bodies that peers are sending to it, or zero without Limits.Bandwidth.
func (p *Pool) InboundDelay() time.Duration {
	p.init()
	return p.recvLimiter.inboundDelay()
}

// OutboundDelay returns the time that this VM's network connection needs for the request and answer bodies that wait to be sent to peers, or zero without Limits.Bandwidth:
// for those whose calls have no objective or can still meet it, which are sent first, and for all.
func (p *Pool) OutboundDelay() (inTime, all time.Duration) {
	p.init()
	return p.sendLimiter.delay()
}

// listConnections returns the open links; p.mu must be held.
func (p *Pool) listConnections() []*connection {
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

// closeLinks closes all links and makes the Pool refuse new ones.
func (p *Pool) closeLinks(reason error) {
	p.closeListener()
	p.mu.Lock()
	p.stopped = true
	conns := p.listConnections()
	for nc := range p.handshaking {
		_ = nc.SetReadDeadline(time.Now()) // not closed: a peer that has our hello must be told that none of its calls runs
		time.AfterFunc(closeTimeout, func() { _ = nc.Close() })
	}
	p.mu.Unlock()
	for _, c := range conns {
		if !c.dialed {
			c.startDrain()
		}
		c.shut(reason)
	}
	p.cancelBase()
}

// Kill closes all links without draining, and does not wait for handlers. What has been written is not destroyed: links stay half open until their peers have read it, at most closeTimeout. Run then returns. After Kill or Run, Call returns a Refused with wire.ReasonLeaving, and Exchange an error of kind problem.Unavailable.
func (p *Pool) Kill() {
	p.init()
	p.closeLinks(errPoolKilled)
}

// Call sends a request and waits for the head of its answer; see Caller.
func (p *Pool) Call(ctx context.Context, to Peer, head wire.CallHead, body io.Reader) Outcome {
	p.init()
	if body == nil {
		head.BodyLength = 0
	}
	doubt := ContextDoubt(ctx)
	head.TakesDoubt = doubt != nil
	for {
		c, err := p.connect(ctx, to)
		if err != nil {
			return Refused{Refusal: refusalFor(ctx, err)}
		}
		o, reason := c.openCall(head, doubt)
		if reason == wire.ReasonLinkLost {
			p.removeLink(c)
			continue
		}
		if reason != wire.ReasonNone {
			return Refused{Refusal: wire.Refusal{Reason: reason}}
		}
		if head.BodyLength != 0 {
			o.startBody(body)
		}
		return o.awaitOutcome(ctx)
	}
}

// Exchange sends a message of the given kind and returns the answer; see Exchanger.
func (p *Pool) Exchange(ctx context.Context, to Peer, kind MessageKind, payload []byte) ([]byte, error) {
	p.init()
	if len(payload) > maxMessageSize {
		return nil, protocolError("message", "payload exceeds the maximum message size")
	}
	c, err := p.connect(ctx, to)
	if errors.Is(err, problem.Busy) || errors.Is(err, problem.Protocol) {
		return nil, err
	}
	if err != nil {
		return nil, problem.Wrap(problem.Unavailable, err, to.Addr.String(), "no link to the member", "try another member")
	}
	return c.exchange(ctx, kind, payload)
}
