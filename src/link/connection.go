package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	acceptedIdleFactor = 5  // an accepted link is closed after this many idle timeouts, in case the dialling end has not closed it
	maxLoggedCalls     = 32 // most requests that are named when their link is lost
)

// connection is an established link, after both hellos. Only the dialling end opens calls and sends messages on it; the accepting end answers them.
type connection struct {
	pool   *Pool
	nc     net.Conn
	dialed bool // this end dialled the link
	peer   Peer
	ctx    context.Context // cancelled when the link ends
	cancel context.CancelCauseFunc
	frames frameReader
	queue  sendQueue

	recvLimiter *recvLimiter // without limit for a link to this VM itself, which does not use the network connection

	mu              sync.Mutex
	lastID          uint64                      // highest id of a call or message on this link; both share one sequence
	outboundCalls   map[uint64]*outboundCall    // at the dialling end
	exchanges       map[uint64]*pendingExchange // messages without an answer yet, at the dialling end
	inboundCalls    map[uint64]*inboundCall     // at the accepting end
	partialMessages map[uint64]*inboundMessage  // messages without their last fragment yet, at the accepting end
	refusedMessages map[uint64]struct{}         // messages refused before their last fragment, at the accepting end
	servingMessages int                         // messages queued for the handler, in it or being answered, at the accepting end
	closing         bool                        // no new calls or messages
	lastUsed        time.Time                   // when a call or message was last seen in progress
	err             error
	carried         int      // calls and messages in progress when err was set
	carriedIDs      []string // requests among them, at most maxLoggedCalls

	written atomic.Int64 // bytes written to the socket

	bytesReceived   uint64 // used only by readLoop, as are the next three fields
	bytesAtLastTick uint64
	silentPeriods   int // consecutive ping intervals without a received byte
	pingNonce       uint64
	writerDone      chan struct{} // closed when writeLoop returns
}

func newConnection(p *Pool, nc net.Conn, fr frameReader, peer Peer, dialed bool) *connection {
	c := &connection{pool: p, nc: nc, dialed: dialed, peer: peer, frames: fr, lastUsed: time.Now(), writerDone: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancelCause(p.baseCtx)
	c.queue.init()
	c.recvLimiter, c.queue.limiter = p.recvLimiter, p.sendLimiter
	if peer.ID == p.Self {
		c.recvLimiter, c.queue.limiter = p.noRecvLimit, nil
	}
	c.outboundCalls = map[uint64]*outboundCall{}
	c.exchanges = map[uint64]*pendingExchange{}
	c.inboundCalls = map[uint64]*inboundCall{}
	c.partialMessages = map[uint64]*inboundMessage{}
	c.refusedMessages = map[uint64]struct{}{}
	return c
}

// run serves the link until it is closed, then ends all calls and messages on it.
func (c *connection) run() {
	go c.writeLoop()
	err := c.readLoop()
	c.fail(err)
	<-c.writerDone
	c.endPending()
}

// fail closes the link at once. Only the first error is kept.
func (c *connection) fail(err error) {
	c.end(err)
	c.queue.fail(err)
	c.cancel(err)
	_ = c.nc.Close()
}

// shut closes the link once what is queued has been written and the peer has closed its end, or after closeTimeout. A close with unread bytes in the socket, or one that more bytes follow, would destroy what the peer has not read yet. Only the first error is kept.
func (c *connection) shut(err error) {
	if !c.end(err) {
		return
	}
	if c.dialed {
		c.queue.fail(err) // what is queued can wait for no answer
	} else {
		c.queue.close(err)
	}
	c.cancel(err) // after the queue, so that handlers add nothing about calls that the link ends
	time.AfterFunc(closeTimeout, func() { _ = c.nc.Close() })
}

// end records why the link is closed, and the calls that are cut by it. It reports whether that is the first reason.
func (c *connection) end(err error) bool {
	c.mu.Lock()
	first := c.err == nil
	if first {
		c.err = err
		c.closing = true
		c.noteCarried()
	}
	c.mu.Unlock()
	if !first {
		return false
	}
	c.recordCuts(err) // before handlers end their calls
	return true
}

// noteCarried records the calls and messages in progress, before their handlers return; c.mu must be held.
func (c *connection) noteCarried() {
	c.carried = len(c.outboundCalls) + len(c.exchanges) + len(c.inboundCalls) + len(c.partialMessages)
	for _, o := range c.outboundCalls {
		c.carriedIDs = append(c.carriedIDs, o.traceID)
	}
	for _, in := range c.inboundCalls {
		c.carriedIDs = append(c.carriedIDs, in.head.TraceID)
	}
	c.carriedIDs = c.carriedIDs[:min(len(c.carriedIDs), maxLoggedCalls)]
}

// endPending ends the calls and messages that were in progress when the link was closed.
func (c *connection) endPending() {
	c.mu.Lock()
	outboundCalls, exchanges, inboundCalls, partialMessages := c.outboundCalls, c.exchanges, c.inboundCalls, c.partialMessages
	c.outboundCalls, c.exchanges, c.inboundCalls, c.partialMessages = nil, nil, nil, nil
	err := c.err
	c.mu.Unlock()
	for _, o := range outboundCalls {
		o.linkLost(err)
	}
	for _, e := range exchanges {
		e.fail(err)
	}
	for _, in := range inboundCalls {
		in.abort(err)
	}
	for _, m := range partialMessages {
		m.discard()
	}
	c.logClosed(err)
}

// logClosed logs why the link was closed and the requests that it carried, an orderly close without any at V(1).
func (c *connection) logClosed(err error) {
	log := c.pool.Log.WithValues("peer", c.peer.ID, "addr", c.peer.Addr.String(), "dialed", c.dialed, "carried", c.carried)
	switch {
	case c.carried > 0:
		log.Info("link closed", "reason", err.Error(), "request_ids", c.carriedIDs)
	case errors.Is(err, io.EOF), errors.Is(err, errLinkIdle), errors.Is(err, errLinkDrained), errors.Is(err, errPoolStopped):
		log.V(1).Info("link closed", "reason", err.Error())
	default:
		log.Info("link closed", "reason", err.Error())
	}
}

// writeLoop writes the queued frames to the socket, several at once if several are queued.
func (c *connection) writeLoop() {
	defer close(c.writerDone)
	var batch []byte
	for {
		batch = c.queue.nextBatch(resetBuffer(batch))
		if len(batch) == 0 {
			c.closeWrite()
			return
		}
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(batch); err != nil {
			c.fail(err)
			return
		}
		c.written.Add(int64(len(batch)))
	}
}

// closeWrite tells the peer that nothing more follows.
func (c *connection) closeWrite() {
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		return
	}
	_ = c.nc.Close()
}

// readLoop receives frames until the link ends and returns the reason.
func (c *connection) readLoop() error {
	c.resetReadDeadline()
	for {
		kind, body, err := c.frames.next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if err = c.tick(); err != nil {
				return err
			}
			c.resetReadDeadline()
			continue
		}
		if err != nil {
			return err
		}
		c.bytesReceived += uint64(len(body) + headerSize)
		if err := c.receive(kind, body); err != nil {
			return err
		}
	}
}

func (c *connection) resetReadDeadline() {
	_ = c.nc.SetReadDeadline(time.Now().Add(c.pool.limits.PingInterval))
}

// tick runs once per ping interval. On a link in use, or one that the peer is to close, it pings a silent peer. If the peer stays silent, the calls are doubted. It returns an error that closes the link if it is idle, or silent without calls or for maxDoubtedTime; an accepting end first drains an idle link.
func (c *connection) tick() error {
	busy, idle := c.usage()
	draining := c.isDraining()
	if c.bytesReceived != c.bytesAtLastTick {
		c.bytesAtLastTick, c.silentPeriods = c.bytesReceived, 0
	} else {
		c.silentPeriods++
	}
	c.frames.releaseBuffer()
	c.forgetAcked()
	switch {
	case !busy && c.dialed && idle > c.pool.limits.IdleTimeout:
		return errLinkIdle
	case !busy && idle > acceptedIdleFactor*c.pool.limits.IdleTimeout:
		return errLinkIdle
	case !busy && !draining && idle > (acceptedIdleFactor-1)*c.pool.limits.IdleTimeout:
		c.startDrain() // at the accepting end; the dialling end can close the link without losing a call that it is about to open
	case !busy && !draining:
		c.silentPeriods = 0
	case c.silentPeriods > maxSilentPeriods && !busy:
		return errPeerSilent
	case c.silentPeriods == maxSilentPeriods+1:
		c.onSilence()
		fallthrough
	case c.silentPeriods > 0:
		if time.Duration(c.silentPeriods)*c.pool.limits.PingInterval > maxDoubtedTime {
			return errPeerSilent
		}
		c.pingNonce++
		c.sendControl(wire.FramePing, &wire.PingFrame{Nonce: c.pingNonce})
	}
	return nil
}

// usage reports whether a call is in progress or a message is sent or served, and otherwise how long the link has been idle. It updates lastUsed, so it must be called regularly. An inbound message does not count before its last fragment.
func (c *connection) usage() (bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if len(c.outboundCalls)+len(c.exchanges)+len(c.inboundCalls)+c.servingMessages > 0 {
		c.lastUsed = now
		return true, 0
	}
	return false, now.Sub(c.lastUsed)
}

// hasOutboundCalls reports whether calls of this end are in progress.
func (c *connection) hasOutboundCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.outboundCalls) > 0
}

// isDraining reports whether new calls on the link have been stopped.
func (c *connection) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// startDrain stops new calls on the link. An accepting end notifies the dialling end, which closes the link when its calls have ended.
func (c *connection) startDrain() {
	c.mu.Lock()
	c.closing = true
	last := c.lastID
	c.mu.Unlock()
	if c.dialed {
		c.closeIfDrained()
		return
	}
	c.sendControl(wire.FrameGoaway, &wire.GoawayFrame{Last: last})
}

// closeIfDrained closes a dialled link that takes no new calls and has none in progress.
func (c *connection) closeIfDrained() {
	c.mu.Lock()
	drained := c.dialed && c.closing && len(c.outboundCalls)+len(c.exchanges) == 0
	c.mu.Unlock()
	if drained {
		c.shut(errLinkDrained)
	}
}
