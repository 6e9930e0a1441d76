package link

import (
	"errors"
	"net"
	"time"
)

const (
	acceptRetryDelay          = 20 * time.Millisecond  // after a failed Accept, for example when file descriptors run out
	contendedHandshakeTimeout = 250 * time.Millisecond // when all handshake slots are taken, an accepted link whose handshake has taken this long is closed
	handshakePollInterval     = 10 * time.Millisecond  // between checks for a free handshake slot
)

// acceptLoop accepts links until the listener is closed. Connections beyond the limit on handshakes stay in the listener's backlog.
func (p *Pool) acceptLoop() {
	defer p.tasks.Done()
	for p.awaitHandshakeSlot() {
		nc, err := p.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.Log.Info("accept failed", "reason", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !p.admit(nc) {
			p.counters.linksRefused.Inc()
			_ = nc.Close()
		}
	}
}

// awaitHandshakeSlot waits until another handshake may start. It returns false when no more links are accepted.
func (p *Pool) awaitHandshakeSlot() bool {
	for {
		p.mu.Lock()
		accepting := !p.stopped && !p.draining
		hasSlot := len(p.handshaking) < p.limits.Handshakes
		if accepting && !hasSlot {
			p.closeSlowHandshakes(time.Now())
		}
		p.mu.Unlock()
		if !accepting || hasSlot {
			return accepting
		}
		time.Sleep(handshakePollInterval)
	}
}

// closeSlowHandshakes closes the accepted links whose handshake exceeds contendedHandshakeTimeout; p.mu must be held.
func (p *Pool) closeSlowHandshakes(now time.Time) {
	for nc, acceptedAt := range p.handshaking {
		if now.Sub(acceptedAt) > contendedHandshakeTimeout {
			_ = nc.Close()
		}
	}
}

// admit starts to serve an accepted link. It returns false if the limit on links is reached or the Pool is draining or stopped.
func (p *Pool) admit(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.draining || p.acceptedLinks >= p.limits.Links {
		return false
	}
	p.acceptedLinks++
	p.handshaking[nc] = time.Now()
	p.tasks.Add(1)
	go p.serveConn(nc)
	return true
}

// serveConn performs the handshake on an accepted link and serves the link until it ends.
func (p *Pool) serveConn(rawConn net.Conn) {
	defer p.tasks.Done()
	defer func() { _ = rawConn.Close() }()
	nc, fr, h, err := p.handshake(rawConn, 0, false)
	if p.OnPeer != nil && h.Self != 0 && h.Addr.IsValid() && (err == nil || errors.Is(err, errWrongMember)) {
		p.OnPeer(Peer{ID: h.Self, Addr: h.Addr})
	}
	p.mu.Lock()
	delete(p.handshaking, rawConn)
	if err != nil {
		p.acceptedLinks--
		p.mu.Unlock()
		p.counters.linksRefused.Inc()
		p.Log.Info("link refused", "addr", rawConn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	c := newConnection(p, nc, fr, Peer{ID: h.Self, Addr: h.Addr}, false)
	p.conns[c] = struct{}{}
	draining, stopped := p.draining, p.stopped
	p.mu.Unlock()
	if draining || stopped {
		c.startDrain()
	}
	if stopped {
		p.counters.linksRefused.Inc()
		c.shut(errPoolStopped)
	}
	c.run()
	p.mu.Lock()
	delete(p.conns, c)
	p.acceptedLinks--
	p.mu.Unlock()
}
