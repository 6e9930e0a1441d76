package cut

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
)

// Recorder logs and counts the requests that were cut at one component. Its fields are set before
// its first use; a nil Recorder records nothing.
type Recorder struct {
	Counter string // name of the counter, without labels
	Log     logr.Logger
	Metrics *metrics.Set

	signal atomic.Pointer[time.Time]
}

// StopBegan tells when a planned stop began, by clock.NowWithSuspension.
func (r *Recorder) StopBegan(at time.Time) { r.signal.Store(&at) }

// Stopping reports whether a planned stop has begun.
func (r *Recorder) Stopping() bool { return r != nil && r.signal.Load() != nil }

// Record logs and counts one request. Where its end is not known, a caller that leaves is logged at
// verbosity 1 outside a planned stop.
func (r *Recorder) Record(q Request) {
	if r == nil {
		return
	}
	r.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{state=%q,by=%q,stopping=\"%t\"}", r.Counter, q.State, q.By, r.Stopping())).Inc()
	log := r.WithSignal(r.Log)
	switch {
	case q.End != EndUnknown:
		log = log.WithValues(q.endValues()...)
	case q.By == Caller && !r.Stopping():
		log = log.V(1)
	}
	log.Info("request cut", "request_id", q.ID, "route", q.Route, "state", q.State.String(), "ended_by", q.By.String(), "reason", q.Reason,
		"status", q.Status, "written_bytes", q.Written, "missing_bytes", q.Missing, "unacked_bytes", q.Unacked)
}

// WithSignal returns the logger with the time since a planned stop began, if one has.
func (r *Recorder) WithSignal(log logr.Logger) logr.Logger {
	if r == nil {
		return log
	}
	if at := r.signal.Load(); at != nil {
		return log.WithValues("since_signal_ms", clock.NowWithSuspension().Sub(*at).Milliseconds())
	}
	return log
}
