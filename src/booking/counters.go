package booking

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccaport/yuccaport/src/wire"
)

// counters holds the metrics of admission and of the exchanges with the backend server.
type counters struct {
	set         *metrics.Set
	admitted    *metrics.Counter
	queued      *metrics.Counter
	answered    *metrics.Counter
	shed        *metrics.Counter // calls that the backend server refused to run
	truncated   *metrics.Counter // streamed answers of which a read failed
	crashes     *metrics.Counter // of the backend server
	fullResets  *metrics.Counter // connections that it reset because it was full
	dialed      *metrics.Counter
	reused      *metrics.Counter
	reclaimed   *metrics.Counter // slots released after the backend server did not end a cancelled or failed call in time, or before ReleaseCancelled was called
	skipped     *metrics.Counter // answers that belong to no request on their connection
	lost        *metrics.Counter // calls that the backend server ended without an answer
	namedLimit  *metrics.Gauge   // requests a second that the backend server takes, noLimit for no limit
	leaving     *metrics.Gauge   // 1 if the backend server says in its answers that it is leaving
	speed       *metrics.Gauge   // how long work takes on the VM in percent of the usual time, 0 if unknown
	serviceTime *metrics.Histogram
}

func newCounters(s *metrics.Set) *counters {
	c := &counters{
		set:         s,
		admitted:    s.GetOrCreateCounter("yuccaport_booking_calls_admitted_total"),
		queued:      s.GetOrCreateCounter("yuccaport_booking_calls_queued_total"),
		answered:    s.GetOrCreateCounter("yuccaport_booking_calls_answered_total"),
		shed:        s.GetOrCreateCounter("yuccaport_booking_calls_shed_total"),
		truncated:   s.GetOrCreateCounter("yuccaport_booking_answers_cut_total"),
		crashes:     s.GetOrCreateCounter("yuccaport_booking_backend_crashes_total"),
		fullResets:  s.GetOrCreateCounter("yuccaport_booking_backend_full_resets_total"),
		dialed:      s.GetOrCreateCounter("yuccaport_booking_connections_dialed_total"),
		reused:      s.GetOrCreateCounter("yuccaport_booking_connections_reused_total"),
		reclaimed:   s.GetOrCreateCounter("yuccaport_booking_slots_reclaimed_total"),
		skipped:     s.GetOrCreateCounter("yuccaport_booking_answers_skipped_total"),
		lost:        s.GetOrCreateCounter("yuccaport_booking_calls_lost_total"),
		speed:       s.GetOrCreateGauge("yuccaport_booking_backend_speed_percent", nil),
		namedLimit:  s.GetOrCreateGauge("yuccaport_booking_backend_limit_per_second", nil),
		leaving:     s.GetOrCreateGauge("yuccaport_booking_backend_leaving", nil),
		serviceTime: s.GetOrCreateHistogram("yuccaport_booking_service_seconds"),
	}
	c.namedLimit.Set(noLimit)
	return c
}

func (c *counters) countUnanswered(by runEnder) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`yuccaport_booking_runs_unanswered_total{ended_by="%s"}`, by)).Inc()
}

func (c *counters) countRefusal(r wire.RefusalReason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`yuccaport_booking_calls_refused_total{reason="%s"}`, r)).Inc()
}
