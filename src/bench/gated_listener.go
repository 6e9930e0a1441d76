package bench

import (
	"net"
	"net/netip"
)

// gatedListener hands out links that stand still while the daemon is paused.
type gatedListener struct {
	net.Listener
	port *port
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.port.wrap(c, netip.AddrPort{}), nil
}
