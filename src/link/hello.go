package link

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// handshake sets up TLS if Keys is set, exchanges hellos, and returns the secured connection, its reader and the hello of the peer.
func (p *Pool) handshake(nc net.Conn, expect uint64, dialed bool) (net.Conn, frameReader, wire.HelloFrame, error) {
	_ = nc.SetDeadline(time.Now().Add(p.limits.HandshakeTimeout))
	nc, err := p.secure(nc, dialed)
	fr := frameReader{r: nc}
	if err != nil {
		return nc, fr, wire.HelloFrame{}, err
	}
	if dialed {
		if err := p.sendHello(nc, expect); err != nil {
			return nc, fr, wire.HelloFrame{}, err
		}
	}
	h, err := p.readHello(&fr)
	if err != nil {
		return nc, fr, h, err
	}
	if !dialed { // before checkHello, so that the dialling end can report a mismatch itself
		if err := p.sendHello(nc, h.Self); err != nil {
			return nc, fr, h, err
		}
	}
	_ = nc.SetDeadline(time.Time{})
	return nc, fr, h, p.checkHello(h, expect, dialed)
}

// secure wraps nc in TLS if Keys is set. Otherwise it checks that a link without TLS is allowed.
func (p *Pool) secure(nc net.Conn, dialed bool) (net.Conn, error) {
	if p.Keys == nil {
		return nc, p.checkInsecure(nc.RemoteAddr())
	}
	cfg, err := p.Keys.tlsConfig()
	if err != nil {
		return nc, err
	}
	if dialed {
		return tls.Client(nc, cfg), nil
	}
	return tls.Server(nc, cfg), nil
}

func (p *Pool) checkInsecure(a net.Addr) error {
	if p.Insecure || AddrOf(a).Addr().IsLoopback() {
		return nil
	}
	return problem.New(problem.Settings, a.String(), "link without keys to an address other than loopback", "set [keys], or insecure = true")
}

// AddrOf returns the IP address and port of a TCP address, or the zero AddrPort for any other address.
func AddrOf(a net.Addr) netip.AddrPort {
	if t, ok := a.(*net.TCPAddr); ok {
		ap := t.AddrPort()
		return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	}
	return netip.AddrPort{}
}

func (p *Pool) sendHello(nc net.Conn, expect uint64) error {
	var addr netip.AddrPort
	if p.Listener != nil {
		addr = AddrOf(p.Listener.Addr())
	}
	b := appendFrame(nil, wire.FrameHello, &wire.HelloFrame{Protocol: wire.LinkProtocol, Self: p.Self, Expect: expect, Addr: addr})
	p.countBytes(wire.FrameHello, directionSent, len(b))
	_, err := nc.Write(b)
	return err
}

func (p *Pool) readHello(fr *frameReader) (wire.HelloFrame, error) {
	var h wire.HelloFrame
	kind, body, err := fr.next()
	if err != nil {
		return h, err
	}
	p.countBytes(wire.FrameHello, directionReceived, len(body)+headerSize)
	if kind != wire.FrameHello {
		return h, protocolError("hello", fmt.Sprintf("first frame has kind %d, not hello", kind))
	}
	return h, decode(&h, body)
}

// checkHello rejects a different protocol version and a member other than the intended one.
func (p *Pool) checkHello(h wire.HelloFrame, expect uint64, dialed bool) error {
	if h.Protocol != wire.LinkProtocol {
		return protocolError("hello", fmt.Sprintf("peer has link protocol %d, want %d", h.Protocol, wire.LinkProtocol))
	}
	if dialed && expect != 0 && h.Self != expect {
		return wrongMember(expect, h.Self)
	}
	if !dialed && h.Expect != 0 && h.Expect != p.Self {
		return wrongMember(h.Expect, p.Self)
	}
	return nil
}

func wrongMember(want, got uint64) error {
	return errWrongMember.Wrap(fmt.Errorf("want member %d at this address, found member %d", want, got))
}
