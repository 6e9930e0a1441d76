package link

import (
	"errors"
	"net"
	"time"
)

const acceptPause = 20 * time.Millisecond // after an accept that failed, as when descriptors run out

// accept takes links until the listener is closed.
func (p *Pool) accept() {
	defer p.tasks.Done()
	for {
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

// admit starts a link within the limits on links and on hellos awaited.
func (p *Pool) admit(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.leaving || p.accepted >= p.limits.Links || p.awaited >= p.limits.Handshakes {
		return false
	}
	p.accepted++
	p.awaited++
	p.raw[nc] = struct{}{}
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
	p.awaited--
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
