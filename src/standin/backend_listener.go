package standin

import (
	"maps"
	"net"
	"sync"
	"time"
)

// backendListener counts a backend server's connections and makes new ones cost time.
type backendListener struct {
	net.Listener
	b *Backend

	mu      sync.Mutex
	conns   map[*backendConn]bool
	crashed bool
}

// crash closes the listener and all its connections.
func (l *backendListener) crash() {
	l.mu.Lock()
	l.crashed = true
	conns := maps.Clone(l.conns)
	l.mu.Unlock()
	_ = l.Close()
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// isFull reports whether the server has as many connections as it should be given.
func (l *backendListener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Connections > 0 && len(l.conns) >= l.b.Connections
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

func (l *backendListener) isCrashed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashed
}

// Accept implements net.Listener.
func (l *backendListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		f := l.b.Faults()
		if f.Dead || f.RefuseConnections {
			_ = c.Close()
			continue
		}
		if f.ResetWhenFull && l.isFull() {
			l.b.resets.Add(1)
			reset(c)
			continue
		}
		l.b.Runs.connect(l.b.Name, l.b.Connections)
		bc := &backendConn{Conn: c, b: l.b, listener: l}
		l.mu.Lock()
		l.conns[bc] = true
		l.mu.Unlock()
		return bc, nil
	}
}

// backendConn is one connection of a backend server.
type backendConn struct {
	net.Conn
	b        *Backend
	listener *backendListener
	opened   sync.Once
	closed   sync.Once
}

// Read implements net.Conn; the first read takes the time that a new connection costs.
func (c *backendConn) Read(p []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.b.ConnectCost) })
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *backendConn) Close() error {
	c.closed.Do(func() {
		c.b.Runs.disconnect(c.b.Name)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

// gone tells whether the other side has closed the connection.
func (c *backendConn) gone() bool {
	return peerClosed(c.Conn)
}
