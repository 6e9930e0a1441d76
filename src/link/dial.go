package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// peerLink is the state of the link to one peer: the open link, the dial in progress, or the backoff before the next dial.
type peerLink struct {
	conn     *connection
	dialDone chan struct{} // closed when the dial in progress ends; nil if there is none
	failures int           // consecutive failed dials
	nextDial time.Time     // earliest time of the next dial
	err      error         // of the last failed dial
}

// connect returns the link to a peer and dials one if there is none. It waits for the dial, which continues if ctx ends. After a failed dial, the callers that waited for it and all later ones get a backoffError, without another dial, until the backoff ends.
func (p *Pool) connect(ctx context.Context, to Peer) (*connection, error) {
	for {
		p.mu.Lock()
		pl, err := p.getPeerLink(to, time.Now())
		if err != nil {
			p.mu.Unlock()
			return nil, err
		}
		if pl.conn != nil {
			p.mu.Unlock()
			return pl.conn, nil
		}
		if pl.dialDone == nil {
			if wait := time.Until(pl.nextDial); wait > 0 {
				err := pl.err
				p.mu.Unlock()
				return nil, &backoffError{wait: wait, err: err}
			}
			pl.dialDone = make(chan struct{})
			p.tasks.Add(1)
			go p.dialAndRun(to, pl)
		}
		dialDone := pl.dialDone
		p.mu.Unlock()
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// backoffError is returned, without dialling, during the backoff after a failed dial.
type backoffError struct {
	wait time.Duration // until the next dial
	err  error         // of the last failed dial
}

// Error returns the error of the last dial.
func (e *backoffError) Error() string { return e.err.Error() }

// Unwrap returns the error of the last dial.
func (e *backoffError) Unwrap() error { return e.err }

// getPeerLink returns the peerLink of a peer and creates it if necessary; p.mu must be held.
func (p *Pool) getPeerLink(to Peer, now time.Time) (*peerLink, error) {
	if p.stopped {
		return nil, errPoolStopped
	}
	if pl, ok := p.peerLinks[to]; ok {
		return pl, nil
	}
	if len(p.peerLinks) >= p.limits.Links {
		p.pruneLinks(now)
	}
	if len(p.peerLinks) >= p.limits.Links {
		return nil, problem.New(problem.Busy, to.Addr.String(), "limit on links reached", "raise the limit on links")
	}
	pl := &peerLink{}
	p.peerLinks[to] = pl
	return pl, nil
}

// pruneLinks removes the peers that have no link, no dial in progress and no backoff; p.mu must be held.
func (p *Pool) pruneLinks(now time.Time) {
	for to, pl := range p.peerLinks {
		if pl.conn == nil && pl.dialDone == nil && now.After(pl.nextDial) {
			delete(p.peerLinks, to)
		}
	}
}

// dialAndRun opens a link and serves it until it ends.
func (p *Pool) dialAndRun(to Peer, pl *peerLink) {
	defer p.tasks.Done()
	c, err := p.dial(to)
	p.mu.Lock()
	if err == nil && p.stopped {
		err = errPoolStopped
		_ = c.nc.Close()
		c.cancel(err)
	}
	if err != nil {
		p.setBackoff(pl, err)
		close(pl.dialDone)
		pl.dialDone = nil
		p.mu.Unlock()
		p.counters.dialsFailed.Inc()
		p.Log.V(1).Info("dial failed", "peer", to.ID, "addr", to.Addr.String(), "reason", err.Error())
		return
	}
	pl.conn, pl.failures = c, 0
	p.conns[c] = struct{}{}
	close(pl.dialDone)
	pl.dialDone = nil
	p.mu.Unlock()
	p.counters.linksOpened.Inc()
	p.Log.V(1).Info("link opened", "peer", to.ID, "addr", to.Addr.String(), "dialed", true)
	c.run()
	p.removeLink(c)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// setBackoff sets the earliest time of the next dial after a failed one; p.mu must be held.
func (p *Pool) setBackoff(pl *peerLink, err error) {
	d := min(minBackoff<<min(pl.failures, 10), maxBackoff)
	d = d/2 + rand.N(d/2)
	pl.failures++
	pl.err = err
	pl.nextDial = time.Now().Add(d)
}

// openConn opens the connection of a link, a TCP connection unless p.Dial is set.
func (p *Pool) openConn(to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.baseCtx, p.limits.HandshakeTimeout)
	defer cancel()
	if p.Dial != nil {
		return p.Dial(ctx, to)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

// dial opens a link and performs the handshake.
func (p *Pool) dial(to Peer) (*connection, error) {
	select {
	case p.dialSlots <- struct{}{}:
		defer func() { <-p.dialSlots }()
	case <-p.baseCtx.Done():
		return nil, errPoolStopped
	}
	p.counters.dials.Inc()
	nc, err := p.openConn(to.Addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(p.baseCtx, func() { _ = nc.Close() })
	defer stop()
	nc, fr, h, err := p.handshake(nc, to.ID, true)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	peer := to
	peer.ID = h.Self
	return newConnection(p, nc, fr, peer, true), nil
}

// removeLink removes a link that takes no new calls, so that the next call to the peer dials a new one.
func (p *Pool) removeLink(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range []Peer{c.peer, {Addr: c.peer.Addr}} { // ID 0 if the link was dialled for any member
		if pl, ok := p.peerLinks[to]; ok && pl.conn == c {
			delete(p.peerLinks, to)
		}
	}
}

// refusalFor returns the refusal of a call that got no link. Nothing was sent, so the call has not run.
func refusalFor(ctx context.Context, err error) wire.Refusal {
	r := wire.Refusal{Reason: wire.ReasonConnect}
	var backoff *backoffError
	if errors.As(err, &backoff) {
		r.RetryAfterMS = max(1, backoff.wait.Milliseconds())
	}
	switch {
	case errors.Is(err, errWrongMember):
		r.Reason = wire.ReasonWrongMember
	case errors.Is(err, problem.Busy):
		r.Reason = wire.ReasonLimit
	case errors.Is(err, errPoolStopped):
		r.Reason = wire.ReasonLeaving
	case ctx.Err() != nil:
		r.Reason = cancelReason(ctx)
	}
	return r
}
