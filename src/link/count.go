package link

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccaport/yuccaport/src/wire"
)

// direction tells which way bytes went.
type direction int

const (
	sent direction = iota
	received
)

// counters counts the bytes of frames, their length and kind included.
type counters struct {
	control [2]*metrics.Counter
	call    [2]*metrics.Counter
	opened  *metrics.Counter
	dials   *metrics.Counter
	failed  *metrics.Counter
	refused *metrics.Counter
}

func newCounters(s *metrics.Set) *counters {
	return &counters{
		control: [2]*metrics.Counter{
			s.GetOrCreateCounter(`yuccaport_link_control_bytes_total{direction="sent"}`),
			s.GetOrCreateCounter(`yuccaport_link_control_bytes_total{direction="received"}`),
		},
		call: [2]*metrics.Counter{
			s.GetOrCreateCounter(`yuccaport_link_call_bytes_total{direction="sent"}`),
			s.GetOrCreateCounter(`yuccaport_link_call_bytes_total{direction="received"}`),
		},
		opened:  s.GetOrCreateCounter(`yuccaport_link_links_opened_total`),
		dials:   s.GetOrCreateCounter(`yuccaport_link_dials_total`),
		failed:  s.GetOrCreateCounter(`yuccaport_link_dials_failed_total`),
		refused: s.GetOrCreateCounter(`yuccaport_link_links_refused_total`),
	}
}

// countBytes adds n bytes of frames of a kind.
func (p *Pool) countBytes(k wire.FrameKind, d direction, n int) {
	switch k {
	case wire.FrameHello, wire.FramePing, wire.FramePong, wire.FrameMessage, wire.FrameAnswer, wire.FrameGoaway:
		p.counters.control[d].Add(n)
	default:
		p.counters.call[d].Add(n)
	}
}
