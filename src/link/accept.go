package link

import (
	"errors"
	"net"
	"time"
)

const (
	acceptPause  = 20 * time.Millisecond  // after an accept that failed, as when descriptors run out
	helloHurry   = 250 * time.Millisecond // a link that says nothing for it makes room for another
	helloWaiting = 10 * time.Millisecond  // between two looks for such a link
)

// accept takes links until the listener is closed; those beyond the hellos awaited stay in the listener's backlog.
func (p *Pool) accept() {
	defer p.tasks.Done()
	for p.awaitHelloRoom() {
		nc, err := p.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.Log.Info("accept failed", "reason", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		if !p.admit(nc) {
			p.counters.refused.Inc()
			_ = nc.Close()
		}
	}
}

// awaitHelloRoom waits until another hello can be awaited; it tells false when no more links are taken.
func (p *Pool) awaitHelloRoom() bool {
	for {
		p.mu.Lock()
		open := !p.stopped && !p.leaving
		room := len(p.raw) < p.limits.Handshakes
		if open && !room {
			p.hurry(time.Now())
		}
		p.mu.Unlock()
		if !open || room {
			return open
		}
		time.Sleep(helloWaiting)
	}
}

// hurry closes the links that have said nothing for long; p.mu is held.
func (p *Pool) hurry(now time.Time) {
	for nc, since := range p.raw {
		if now.Sub(since) > helloHurry {
			_ = nc.Close()
		}
	}
}

// admit starts a link within the limit on links.
func (p *Pool) admit(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.leaving || p.accepted >= p.limits.Links {
		return false
	}
	p.accepted++
	p.raw[nc] = time.Now()
	p.tasks.Add(1)
	go p.welcome(nc)
	return true
}

// welcome awaits the hello of a link and carries it until it ends.
func (p *Pool) welcome(raw net.Conn) {
	defer p.tasks.Done()
	defer func() { _ = raw.Close() }()
	nc, fr, h, err := p.greet(raw, 0, false)
	p.mu.Lock()
	delete(p.raw, raw)
	if err == nil && p.stopped {
		err = errStopped
	}
	if err != nil {
		p.accepted--
		p.mu.Unlock()
		p.counters.refused.Inc()
		p.Log.Info("link refused", "addr", raw.RemoteAddr().String(), "reason", err.Error())
		return
	}
	c := newConnection(p, nc, fr, Peer{ID: h.Self, Addr: h.Addr}, false)
	p.conns[c] = struct{}{}
	leaving := p.leaving
	p.mu.Unlock()
	if leaving {
		c.leave()
	}
	c.run()
	p.mu.Lock()
	delete(p.conns, c)
	p.accepted--
	p.mu.Unlock()
}
