package link

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccaport/yuccaport/src/wire"
)

// direction is the direction of transferred bytes.
type direction int

const (
	directionSent direction = iota
	directionReceived
)

// counters holds the metrics of a Pool. Byte counts include the length and kind of each frame.
type counters struct {
	controlBytes [2]*metrics.Counter
	callBytes    [2]*metrics.Counter
	linksOpened  *metrics.Counter // dialled links whose handshake succeeded
	dials        *metrics.Counter
	dialsFailed  *metrics.Counter
	linksRefused *metrics.Counter // accepted links closed because of the limit on links, a draining or stopped Pool, or a failed handshake
}

func newCounters(s *metrics.Set) *counters {
	return &counters{
		controlBytes: [2]*metrics.Counter{
			s.GetOrCreateCounter(`yuccaport_link_control_bytes_total{direction="sent"}`),
			s.GetOrCreateCounter(`yuccaport_link_control_bytes_total{direction="received"}`),
		},
		callBytes: [2]*metrics.Counter{
			s.GetOrCreateCounter(`yuccaport_link_call_bytes_total{direction="sent"}`),
			s.GetOrCreateCounter(`yuccaport_link_call_bytes_total{direction="received"}`),
		},
		linksOpened:  s.GetOrCreateCounter(`yuccaport_link_links_opened_total`),
		dials:        s.GetOrCreateCounter(`yuccaport_link_dials_total`),
		dialsFailed:  s.GetOrCreateCounter(`yuccaport_link_dials_failed_total`),
		linksRefused: s.GetOrCreateCounter(`yuccaport_link_links_refused_total`),
	}
}

// countBytes counts n bytes of frames of kind k.
func (p *Pool) countBytes(k wire.FrameKind, d direction, n int) {
	switch k {
	case wire.FrameHello, wire.FramePing, wire.FramePong, wire.FrameMessage, wire.FrameAnswer, wire.FrameGoaway:
		p.counters.controlBytes[d].Add(n)
	default:
		p.counters.callBytes[d].Add(n)
	}
}
