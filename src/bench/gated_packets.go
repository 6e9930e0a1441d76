package bench

import (
	"net"
	"sync"
	"time"
)

// gatedPackets is a UDP socket that loses what is sent across a cut and stands still while the daemon is paused.
type gatedPackets struct {
	net.PacketConn
	port   *port
	once   sync.Once
	closed chan struct{}
}

// ReadFrom implements net.PacketConn.
func (c *gatedPackets) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	c.port.fabric.await(c.closed, nil, func() bool { return c.port.paused })
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *gatedPackets) WriteTo(b []byte, to net.Addr) (int, error) {
	c.port.fabric.await(c.closed, nil, func() bool { return c.port.paused })
	u, ok := to.(*net.UDPAddr)
	c.port.fabric.mu.Lock()
	lost := ok && c.port.severed(u.AddrPort())
	c.port.fabric.mu.Unlock()
	if lost {
		return len(b), nil
	}
	if d := c.port.fabric.randomDelay(); d > 0 {
		b = append([]byte(nil), b...)
		time.AfterFunc(d, func() { _, _ = c.PacketConn.WriteTo(b, to) })
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

// Close implements net.PacketConn.
func (c *gatedPackets) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.PacketConn.Close()
}
