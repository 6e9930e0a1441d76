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

const readRetryDelay = 10 * time.Millisecond // after a failed read of the socket, before the next

var errMalformed = errors.New("malformed datagram")

func (n *Node) send(a Send) {
	b, err := a.Probe.MarshalMsg(make([]byte, 0, 128))
	if err != nil || len(b) > wire.MaxProbeSize {
		n.Log.Info("datagram not sent", "size", len(b), "reason", "cannot be encoded or exceeds the maximum size", "to", a.To)
		return
	}
	if _, err := n.Conn.WriteTo(b, net.UDPAddrFromAddrPort(a.To)); err != nil {
		return // as if the datagram were lost
	}
	n.counters.sentDatagrams.Inc()
	n.counters.sentBytes.Add(len(b) + packetOverhead)
}

// readDatagrams reads datagrams from the socket until it is closed or ctx is done.
func (n *Node) readDatagrams(ctx context.Context) {
	b := make([]byte, wire.MaxProbeSize+1)
	for {
		size, addr, err := n.Conn.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		n.counters.receivedDatagrams.Inc()
		n.counters.receivedBytes.Add(size + packetOverhead)
		n.handleDatagram(b[:size], addr)
	}
}

// handleDatagram queues a datagram for the core; it drops and counts malformed and oversized ones, and any that arrive
// while the queue is full.
func (n *Node) handleDatagram(b []byte, addr net.Addr) {
	udp, ok := addr.(*net.UDPAddr)
	r := Received{Size: len(b)}
	if !ok || decodeProbe(b, &r.Probe) != nil {
		n.counters.malformed.Inc()
		return
	}
	from := udp.AddrPort()
	r.From = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	select {
	case n.inbound <- r:
	default:
		n.counters.overrun.Inc()
	}
}

// decodeProbe decodes and validates a datagram, which must hold exactly one probe.
func decodeProbe(b []byte, p *wire.Probe) error {
	if len(b) > wire.MaxProbeSize {
		return errMalformed
	}
	rest, err := p.UnmarshalMsg(b)
	if err != nil {
		return err
	}
	invalid := func(m wire.Member) bool { return m.State > wire.StateDead || m.ID == 0 || !m.Addr.IsValid() }
	if len(rest) > 0 || p.Mark.State() > wire.StateDead || slices.ContainsFunc(p.Members, invalid) {
		return errMalformed
	}
	if slices.ContainsFunc(p.Briefs, func(b wire.Brief) bool { return b.Mark.State() > wire.StateDead }) {
		return errMalformed
	}
	return nil
}
