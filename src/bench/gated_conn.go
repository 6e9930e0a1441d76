package bench

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// gatedConn is a link that stands still while its daemon is paused or its peer is cut off.
type gatedConn struct {
	net.Conn
	port     *port
	to       netip.AddrPort // zero at the accepting end, whose peer the dialling end cuts off
	once     sync.Once
	closed   chan struct{}
	deadline atomic.Int64 // of writes, nanoseconds since the Unix epoch, 0 for none
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.port.fabric.await(c.closed, nil, func() bool { return c.port.stuck(c.to) })
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	var expired <-chan time.Time
	if at := c.deadline.Load(); at != 0 {
		t := time.NewTimer(time.Until(time.Unix(0, at)))
		defer t.Stop()
		expired = t.C
	}
	if !c.port.fabric.await(c.closed, expired, func() bool { return c.port.stuck(c.to) }) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(b)
}

// SetDeadline implements net.Conn.
func (c *gatedConn) SetDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *gatedConn) SetWriteDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *gatedConn) noteDeadline(t time.Time) {
	if t.IsZero() {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(t.UnixNano())
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.port.fabric.mu.Lock()
		delete(c.port.fabric.conns, c)
		c.port.fabric.mu.Unlock()
	})
	return c.Conn.Close()
}
