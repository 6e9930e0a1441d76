package roster

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const readPause = 10 * time.Millisecond // after a failed read of the socket

var errMalformed = errors.New("malformed datagram")

func (n *Node) send(a Send) {
	b, err := a.Probe.MarshalMsg(make([]byte, 0, 128))
	if err != nil || len(b) > wire.MaxProbeSize {
		n.Log.Info("datagram not sent", "size", len(b), "reason", "over size", "to", a.To)
		return
	}
	if _, err := n.Conn.WriteTo(b, net.UDPAddrFromAddrPort(a.To)); err != nil {
		return
	}
	n.counters.sent.Inc()
	n.counters.sentBytes.Add(len(b) + packetOverhead)
}

// read takes datagrams from the socket until it is closed.
func (n *Node) read(ctx context.Context) {
	b := make([]byte, wire.MaxProbeSize+1)
	for {
		k, addr, err := n.Conn.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(readPause)
			continue
		}
		n.counters.received.Inc()
		n.counters.receivedBytes.Add(k + packetOverhead)
		n.accept(b[:k], addr)
	}
}

// accept drops what is malformed or over size, and what comes faster than it is handled.
func (n *Node) accept(b []byte, addr net.Addr) {
	u, ok := addr.(*net.UDPAddr)
	r := Received{Size: len(b)}
	if !ok || decode(b, &r.Probe) != nil {
		n.counters.malformed.Inc()
		return
	}
	from := u.AddrPort()
	r.From = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	select {
	case n.inbound <- r:
	default:
		n.counters.overrun.Inc()
	}
}

// decode reads one whole datagram.
func decode(b []byte, p *wire.Probe) error {
	if len(b) > wire.MaxProbeSize {
		return errMalformed
	}
	rest, err := p.UnmarshalMsg(b)
	if err != nil {
		return err
	}
	bad := func(m wire.Member) bool { return m.State > wire.StateDead || m.ID == 0 || !m.Addr.IsValid() }
	if len(rest) > 0 || p.Mark.State() > wire.StateDead || slices.ContainsFunc(p.Members, bad) {
		return errMalformed
	}
	if slices.ContainsFunc(p.Briefs, func(b wire.Brief) bool { return b.Mark.State() > wire.StateDead }) {
		return errMalformed
	}
	return nil
}
