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

// greet makes the connection secure where keys are set, exchanges hellos and returns what the other end said.
func (p *Pool) greet(nc net.Conn, expect uint64, dialed bool) (net.Conn, frameReader, wire.HelloFrame, error) {
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
	if !dialed {
		if err := p.sendHello(nc, h.Self); err != nil {
			return nc, fr, h, err
		}
	}
	_ = nc.SetDeadline(time.Time{})
	return nc, fr, h, p.check(h, expect, dialed)
}

func (p *Pool) secure(nc net.Conn, dialed bool) (net.Conn, error) {
	if p.Keys == nil {
		return nc, p.checkInsecure(nc.RemoteAddr())
	}
	cfg, err := p.Keys.config()
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

// AddrOf returns the IP number and port of a TCP address, the zero AddrPort for any other.
func AddrOf(a net.Addr) netip.AddrPort {
	if t, ok := a.(*net.TCPAddr); ok {
		ap := t.AddrPort()
		return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	}
	return netip.AddrPort{}
}

func (p *Pool) sendHello(nc net.Conn, expect uint64) error {
	var at netip.AddrPort
	if p.Listener != nil {
		at = AddrOf(p.Listener.Addr())
	}
	b := appendFrame(nil, wire.FrameHello, &wire.HelloFrame{Protocol: wire.LinkProtocol, Self: p.Self, Expect: expect, Addr: at})
	p.countBytes(wire.FrameHello, sent, len(b))
	_, err := nc.Write(b)
	return err
}

func (p *Pool) readHello(fr *frameReader) (wire.HelloFrame, error) {
	var h wire.HelloFrame
	kind, body, err := fr.next()
	if err != nil {
		return h, err
	}
	p.countBytes(wire.FrameHello, received, len(body)+headerSize)
	if kind != wire.FrameHello {
		return h, protocolError("hello", fmt.Sprintf("first frame has kind %d", kind))
	}
	return h, decode(&h, body)
}

// check refuses another protocol, and a member other than the one meant.
func (p *Pool) check(h wire.HelloFrame, expect uint64, dialed bool) error {
	if h.Protocol != wire.LinkProtocol {
		return protocolError("hello", fmt.Sprintf("link protocol %d is not %d", h.Protocol, wire.LinkProtocol))
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
	return errWrongMember.Wrap(fmt.Errorf("member %d was meant, %d answers at this address", want, got))
}
