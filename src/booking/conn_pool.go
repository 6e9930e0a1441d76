package booking

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	maxNonIdempotentIdle = time.Second          // a connection idle for longer is not used for a non-idempotent call, since the backend server may be closing it
	remoteCloseTime      = 5 * time.Millisecond // a backend server that closes the connection after each answer does so within this time
	idleTimeout          = 30 * time.Second     // an idle connection is closed after this time
	dialTimeout          = 2 * time.Second
	replaceWait          = 50 * time.Millisecond // longest wait for the backend server to close a replaced connection; it is on the same VM and needs far less
)

var errPoolExhausted = errors.New("all connections to the backend server are in use")

// connPool is a pool of at most Max connections to the backend server.
type connPool struct {
	Addr netip.AddrPort
	Max  int
	Now  func() time.Time

	mu        sync.Mutex
	idle      []*conn // most recently used last
	openCount int     // open connections, including those being dialed
	closed    bool
}

// get returns an idle connection that is still alive, or dials a new one; it fails with errPoolExhausted if Max connections are in use.
// For a non-idempotent call, it reuses only a connection for which isSafeForNonIdempotent holds.
func (p *connPool) get(ctx context.Context, nonIdempotent bool) (*conn, error) {
	for {
		c, replaced, err := p.acquire(nonIdempotent)
		if err != nil {
			return nil, err
		}
		if replaced != nil {
			replaced.closeAndWait(replaceWait)
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.alive() {
			return c, nil
		}
		p.drop(c)
	}
}

// acquire returns an idle connection, or nil if a new one is to be dialed, which is then already counted in openCount.
// If the pool is full and no idle connection is suitable, the second result is the least recently used one, to be closed before the new one is dialed.
func (p *connPool) acquire(nonIdempotent bool) (*conn, *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !nonIdempotent || p.isSafeForNonIdempotent(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, nil, nil
		}
	}
	if p.openCount < p.Max {
		p.openCount++
		return nil, nil, nil
	}
	for len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		if p.openCount == p.Max {
			return nil, oldest, nil
		}
		_ = oldest.nc.Close() // beyond a maximum that setMax has lowered
		p.openCount--
	}
	return nil, nil, errPoolExhausted
}

// isSafeForNonIdempotent reports whether c can carry a non-idempotent call: it was used within maxNonIdempotentIdle,
// and the backend server has kept it open after an earlier answer or has had remoteCloseTime to close it, so it is unlikely to be closing it now. Whether c is still open is not checked here.
func (p *connPool) isSafeForNonIdempotent(c *conn) bool {
	age := p.Now().Sub(c.lastAnswer)
	keepsOpen := c.answers > 1 || age > remoteCloseTime // it does not close the connection after each answer
	return keepsOpen && age < maxNonIdempotentIdle
}

func (p *connPool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.Addr.String())
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, problem.Wrap(problem.NotRun, err, p.Addr.String(), "cannot connect to the backend server", "check that it is running and that backend.addr in the settings is right")
	}
	c := newConn(nc)
	c.opened = p.Now()
	return c, nil
}

// isRefused reports whether the backend server refuses a new connection. One that it accepts is
// kept for the next call.
func (p *connPool) isRefused(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.mu.Lock()
	p.openCount++ // may exceed Max until the connection whose failure is being checked is dropped
	p.mu.Unlock()
	c, err := p.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.lastAnswer = p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.openCount > p.Max {
		p.openCount--
		_ = c.nc.Close()
		return false
	}
	p.idle = append(p.idle, c)
	return false
}

// setMax changes the maximum number of connections. Connections beyond it are not closed at once; acquire closes an idle one when it finds no suitable connection.
func (p *connPool) setMax(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Max = n
}

// put returns a connection to the pool after a complete answer.
func (p *connPool) put(c *conn) {
	c.lastAnswer = p.Now()
	c.answers++
	c.mayHaveSent.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.openCount--
		_ = c.nc.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection that was taken from the pool.
func (p *connPool) drop(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// closeExpired closes the connections that have been idle for longer than idleTimeout.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastAnswer) > idleTimeout {
		_ = p.idle[0].nc.Close()
		p.idle = p.idle[1:]
		p.openCount--
	}
}

// close closes the idle connections; connections returned later are closed by put.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.nc.Close()
	}
	p.openCount -= len(p.idle)
	p.idle = nil
}
