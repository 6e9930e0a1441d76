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

// route leads to one peer: its link, the dial under way, or the wait before the next dial.
type route struct {
	conn     *connection
	dialing  chan struct{} // closed when the dial ends
	failures int
	next     time.Time // no dial before
	err      error     // of the last dial
}

// connect returns the link to a peer, dialling it when there is none.
func (p *Pool) connect(ctx context.Context, to Peer) (*connection, error) {
	for {
		p.mu.Lock()
		r, err := p.routeTo(to, time.Now())
		if err != nil {
			p.mu.Unlock()
			return nil, err
		}
		if r.conn != nil {
			p.mu.Unlock()
			return r.conn, nil
		}
		if r.dialing == nil {
			if wait := time.Until(r.next); wait > 0 {
				err := r.err
				p.mu.Unlock()
				return nil, &backoffError{wait: wait, err: err}
			}
			r.dialing = make(chan struct{})
			p.tasks.Add(1)
			go p.dial(to, r)
		}
		dialing := r.dialing
		p.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// backoffError refuses a dial that follows a failed one too soon.
type backoffError struct {
	wait time.Duration
	err  error
}

// Error returns the error of the last dial.
func (e *backoffError) Error() string { return e.err.Error() }

// Unwrap returns the error of the last dial.
func (e *backoffError) Unwrap() error { return e.err }

// routeTo finds or makes the route to a peer; p.mu is held.
func (p *Pool) routeTo(to Peer, now time.Time) (*route, error) {
	if p.stopped {
		return nil, errStopped
	}
	if r, ok := p.routes[to]; ok {
		return r, nil
	}
	if len(p.routes) >= p.limits.Links {
		p.prune(now)
	}
	if len(p.routes) >= p.limits.Links {
		return nil, problem.New(problem.Busy, to.Addr.String(), "too many links are open", "raise the limit of links")
	}
	r := &route{}
	p.routes[to] = r
	return r, nil
}

// prune forgets the routes that lead nowhere; p.mu is held.
func (p *Pool) prune(now time.Time) {
	for to, r := range p.routes {
		if r.conn == nil && r.dialing == nil && now.After(r.next) {
			delete(p.routes, to)
		}
	}
}

// dial makes a link and carries it until it ends.
func (p *Pool) dial(to Peer, r *route) {
	defer p.tasks.Done()
	c, err := p.dialOnce(to)
	p.mu.Lock()
	if err == nil && p.stopped {
		err = errStopped
		_ = c.nc.Close()
		c.cancel()
	}
	if err != nil {
		p.postpone(r, err)
		close(r.dialing)
		r.dialing = nil
		p.mu.Unlock()
		p.counters.failed.Inc()
		p.Log.V(1).Info("dial failed", "peer", to.ID, "addr", to.Addr.String(), "reason", err.Error())
		return
	}
	r.conn, r.failures = c, 0
	p.conns[c] = struct{}{}
	close(r.dialing)
	r.dialing = nil
	p.mu.Unlock()
	p.counters.opened.Inc()
	p.Log.V(1).Info("link opened", "peer", to.ID, "addr", to.Addr.String(), "dialed", true)
	c.run()
	p.forget(c)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// postpone sets the time before which a peer is not dialled again; p.mu is held.
func (p *Pool) postpone(r *route, err error) {
	d := min(backoffMin<<min(r.failures, 10), backoffMax)
	d = d/2 + rand.N(d/2)
	r.failures++
	r.err = err
	r.next = time.Now().Add(d)
}

// open makes the TCP connection of a link.
func (p *Pool) open(to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.base, p.limits.HandshakeTimeout)
	defer cancel()
	if p.Dial != nil {
		return p.Dial(ctx, to)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

func (p *Pool) dialOnce(to Peer) (*connection, error) {
	select {
	case p.handshakes <- struct{}{}:
		defer func() { <-p.handshakes }()
	case <-p.base.Done():
		return nil, errStopped
	}
	p.counters.dials.Inc()
	nc, err := p.open(to.Addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(p.base, func() { _ = nc.Close() })
	defer stop()
	nc, fr, h, err := p.greet(nc, to.ID, true)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	peer := to
	peer.ID = h.Self
	return newConnection(p, nc, fr, peer, true), nil
}

// forget makes the next call to the peer dial a new link.
func (p *Pool) forget(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, to := range []Peer{c.peer, {Addr: c.peer.Addr}} {
		if r, ok := p.routes[to]; ok && r.conn == c {
			delete(p.routes, to)
		}
	}
}

// refusalOf tells a caller why there is no link; nothing has been sent.
func refusalOf(ctx context.Context, err error) wire.Refusal {
	r := wire.Refusal{Reason: wire.ReasonConnect}
	var wait *backoffError
	if errors.As(err, &wait) {
		r.RetryAfterMS = max(1, wait.wait.Milliseconds())
	}
	switch {
	case errors.Is(err, errWrongMember):
		r.Reason = wire.ReasonWrongMember
	case errors.Is(err, problem.Busy):
		r.Reason = wire.ReasonLimit
	case errors.Is(err, errStopped):
		r.Reason = wire.ReasonLeaving
	case ctx.Err() != nil:
		r.Reason = reasonOf(ctx)
	}
	return r
}
