package bench

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// fabric is the network between the daemons of a Fleet; it can cut off a failure domain and make daemons stand still.
type fabric struct {
	mu      sync.Mutex
	ports   map[uint16]*port // by control port number
	conns   map[*gatedConn]struct{}
	cut     string        // failure domain cut off, empty for none
	jitter  time.Duration // longest random delay of a datagram
	changed chan struct{} // closed at each change
}

// port is one daemon's place in the fabric.
type port struct {
	fabric *fabric
	domain string
	paused bool
}

func newFabric() *fabric {
	return &fabric{ports: map[uint16]*port{}, conns: map[*gatedConn]struct{}{}, changed: make(chan struct{})}
}

// add gives a daemon its place; control is the address of its listener.
func (f *fabric) add(domain string, control net.Addr) *port {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &port{fabric: f, domain: domain}
	f.ports[addrPort(control).Port()] = p
	return p
}

// set makes a change and lets everything that waits look again.
func (f *fabric) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// await waits while blocked holds; it tells whether that ended before done was closed and expired fired.
func (f *fabric) await(done <-chan struct{}, expired <-chan time.Time, blocked func() bool) bool {
	for {
		f.mu.Lock()
		wait, changed := blocked(), f.changed
		f.mu.Unlock()
		if !wait {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		case <-expired:
			return false
		}
	}
}

// severed tells whether a cut lies between a daemon and an address; mu is held.
func (p *port) severed(to netip.AddrPort) bool {
	other := p.fabric.ports[to.Port()]
	if p.fabric.cut == "" || other == nil {
		return false
	}
	return (p.domain == p.fabric.cut) != (other.domain == p.fabric.cut)
}

// stuck tells whether the daemon can't exchange bytes with an address now; mu is held.
func (p *port) stuck(to netip.AddrPort) bool { return p.paused || p.severed(to) }

// dial opens a link through the fabric.
func (p *port) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if !p.fabric.await(ctx.Done(), nil, func() bool { return p.stuck(to) }) {
		return nil, ctx.Err()
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return p.wrap(c, to), nil
}

func (p *port) wrap(c net.Conn, to netip.AddrPort) *gatedConn {
	g := &gatedConn{Conn: c, port: p, to: to, closed: make(chan struct{})}
	p.fabric.mu.Lock()
	defer p.fabric.mu.Unlock()
	p.fabric.conns[g] = struct{}{}
	return g
}

// closeAll closes every link at once.
func (f *fabric) closeAll() {
	f.mu.Lock()
	var all []*gatedConn
	for c := range f.conns {
		all = append(all, c)
	}
	f.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

func (f *fabric) randomDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jitter == 0 {
		return 0
	}
	return rand.N(f.jitter)
}
