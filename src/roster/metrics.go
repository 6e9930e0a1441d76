package roster

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccaport/yuccaport/src/wire"
)

// counters are the metrics of a Node; bytes include the IP and UDP headers.
type counters struct {
	sentBytes, receivedBytes         *metrics.Counter
	sentDatagrams, receivedDatagrams *metrics.Counter
	malformed, overrun               *metrics.Counter // dropped datagrams; overrun: the inbound queue was full
	exchanges, failedExchanges       *metrics.Counter
	suspicions, deaths               *metrics.Counter // suspicions: changes to suspect, also as reported by others; deaths: of lost members, counted when an alarm is raised
}

func newCounters(n *Node) *counters {
	s := n.Metrics
	for name, state := range map[string]wire.MemberState{
		"alive":   wire.StateAlive,
		"suspect": wire.StateSuspect,
		"leaving": wire.StateLeaving,
	} {
		s.GetOrCreateGauge(fmt.Sprintf(`yuccaport_roster_members{state=%q}`, name), func() float64 { return n.countMembers(state) })
	}
	return &counters{
		sentBytes:         s.GetOrCreateCounter("yuccaport_roster_sent_bytes_total"),
		receivedBytes:     s.GetOrCreateCounter("yuccaport_roster_received_bytes_total"),
		sentDatagrams:     s.GetOrCreateCounter("yuccaport_roster_sent_datagrams_total"),
		receivedDatagrams: s.GetOrCreateCounter("yuccaport_roster_received_datagrams_total"),
		malformed:         s.GetOrCreateCounter(`yuccaport_roster_dropped_datagrams_total{reason="malformed"}`),
		overrun:           s.GetOrCreateCounter(`yuccaport_roster_dropped_datagrams_total{reason="overrun"}`),
		exchanges:         s.GetOrCreateCounter("yuccaport_roster_exchanges_total"),
		failedExchanges:   s.GetOrCreateCounter("yuccaport_roster_failed_exchanges_total"),
		suspicions:        s.GetOrCreateCounter("yuccaport_roster_suspicions_total"),
		deaths:            s.GetOrCreateCounter("yuccaport_roster_deaths_total"),
	}
}

// countMembers counts the members of the view in a state; lost members that it holds count as suspect.
func (n *Node) countMembers(s wire.MemberState) float64 {
	c := 0
	for _, m := range n.View().Members {
		if m.State == s {
			c++
		}
	}
	return float64(c)
}
