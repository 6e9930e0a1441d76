package booking

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// ParentHeader is the request header that links calls made by a backend server to the call that it is running.
	ParentHeader = "Yuccaport-Parent"

	maxDrainGrace = 2 * time.Second // upper bound on the drain_grace of the document, and the grace period without a document
)

// Server admits incoming calls, runs them on the backend server and tracks its health.
//
// Its exported fields must be set before its first use. Run must be called once and be running while calls are served; the other methods are safe for concurrent use.
type Server struct {
	Backend        settings.Backend
	Service        string                             // name of the service whose calls are accepted
	Self           uint64                             // member ID of this daemon; calls with another target are refused
	Document       func() *document.Document          // returns the current configuration document of Service, nil if none has been received yet
	Headers        header.Names                       // zero for header.Default
	UsesHeartbeats bool                               // heartbeats of the backend server, passed to SetInstance, replace the probes of its health endpoint and report its slots, so the concurrency limit is fixed and lost answers do not take it down
	InboundDelay   func() time.Duration               // expected time until the bodies in transit to this VM have arrived; nil for zero
	OutboundDelay  func() (inTime, all time.Duration) // time that the network connection of this VM needs for the bodies that wait to be sent: those in time for their objective, and all; nil for zero
	Policy         Policy                             // order of the queued calls with an objective, empty for PolicyPriority
	LinkRate       float64                            // bytes per second of the network connection of this VM, 0 to ignore the time that answers take on it
	Quarantine     *quarantine.Node                   // keeps requests away that crash backend servers; nil for none
	Rollout        *rollout.Node                      // decides which calls may run while the service is under a rollout order, and gets the outcome of each run; nil for none
	HasTenants     func() bool                        // reports whether the configuration holds tenants; nil for never
	BodyMemory     int64                              // bytes of the bodies that are buffered, 0 for 32 MiB
	ResetsWhenFull bool                               // the backend server resets connections when it is full; of others, a reset is a fault
	StartedAt      func() time.Time                   // returns the start of the backend server, zero if it is unknown; nil for unknown
	OnLeaving      func(instance string)              // called when the answers of an instance begin to say that it is leaving; nil for no call
	Now            func() time.Time                   // nil for time.Now
	Log            logr.Logger                        // zero for no logging
	Metrics        *metrics.Set                       // nil for a new set
	Record         *trace.Recorder                    // records the events of the core; nil for no recording

	stallTimeout    time.Duration // of streamed answers
	once            sync.Once
	closeWaitCtx    context.Context // cancelled by ReleaseCancelled
	cancelCloseWait context.CancelFunc
	pool            connPool
	tokens          parentTokens
	bodyBuffer      bodyBuffer
	counters        *counters
	lastCall        atomic.Uint64
	calls           atomic.Int64 // calls that ServeCall has not ended
	unadmitted      atomic.Int64 // those whose body arrives or that wait for a slot
	reportedHealth  HealthState  // last state reported by a heartbeat (guarded by mu) or, without heartbeats, by a probe (accessed only by Run)

	mu           sync.Mutex
	core         Core
	limits       document.Limits
	pending      map[uint64]chan Action // calls not yet admitted or refused, with the channel for the decision
	health       healthTracker
	instance     string // the only instance that may run calls; empty if none is set
	notices      noticeTracker
	echoInstance string                 // last instance whose answers bore the IDs of requests
	echoKnown    bool                   // there has been one
	runs         map[*exchange]struct{} // exchanges whose request the backend server may run
	crashes      crashTracker
	leaveBy      time.Time // by clock.NowWithSuspension; no request is sent to the leaving backend server from then on, zero if it is not leaving

	protocolErrors      int // since the last log line on them
	protocolErrorLogged time.Time
	tickAt              time.Time   // time of the scheduled Tick, zero for none
	tick                *time.Timer // passes it to the core
}

// ReleaseCancelled causes the slots of cancelled and failed calls, including those that are cancelled or fail later, to be released without waiting for the backend server to end the calls.
// It is called when the daemon is about to exit.
func (s *Server) ReleaseCancelled() {
	s.init()
	s.cancelCloseWait()
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Now == nil {
			s.Now = time.Now
		}
		if s.stallTimeout == 0 {
			s.stallTimeout = stallTimeout
		}
		if s.Headers == (header.Names{}) {
			s.Headers = header.Default()
		}
		if s.Metrics == nil {
			s.Metrics = metrics.NewSet()
		}
		if s.Log.GetSink() == nil {
			s.Log = logr.Discard()
		}
		s.counters = newCounters(s.Metrics)
		s.bodyBuffer.max = s.BodyMemory
		s.pool.Addr, s.pool.Max, s.pool.Now = s.Backend.Addr, max(1, s.Backend.Connections), s.Now
		s.core.LinkRate, s.core.Policy = s.LinkRate, s.Policy
		s.core.Slots, s.core.FixedLimit = max(1, s.Backend.Slots), s.UsesHeartbeats // heartbeats report the slots, so the concurrency limit need not adapt
		s.limits = document.Limits{Queue: document.DefaultQueue, QueueWait: document.Duration(document.DefaultQueueWait)}
		s.core.QueueLimit, s.core.QueueWait = s.limits.Queue, s.limits.QueueWait.Std()
		s.pending = map[uint64]chan Action{}
		s.runs = map[*exchange]struct{}{}
		s.closeWaitCtx, s.cancelCloseWait = context.WithCancel(context.Background())
		s.initTraceHeader()
	})
}

// initTraceHeader writes the settings of the core into the header of a trace that has none.
func (s *Server) initTraceHeader() {
	if s.Record == nil || len(s.Record.Header.Settings) > 0 {
		return
	}
	settings := traceSettings{Slots: s.core.Slots, FixedLimit: s.core.FixedLimit, Policy: s.core.Policy, Queue: s.core.QueueLimit, QueueWait: s.core.QueueWait}
	s.Record.Header.Core = CoreName
	s.Record.Header.Settings, _ = json.Marshal(settings) // cannot fail for numbers
}

// stepLocked applies an event to the core and delivers the decisions to the calls that wait for them. s.mu must be held.
func (s *Server) stepLocked(e Event) []Action {
	now := s.Now()
	actions := s.core.Step(now, e)
	if s.Record != nil {
		if out, err := trace.Outcomes(actions); err == nil {
			s.Record.Record(now, e, out)
		}
	}
	for _, a := range actions {
		s.deliverLocked(a)
	}
	s.scheduleTickLocked(now)
	return actions
}

// scheduleTickLocked schedules the next Tick that the core needs. s.mu must be held.
func (s *Server) scheduleTickLocked(now time.Time) {
	d, ok := s.core.NextTick(now)
	at := now.Add(d)
	if !ok || !s.tickAt.IsZero() && !at.Before(s.tickAt) {
		return
	}
	if s.tick != nil {
		s.tick.Stop()
	}
	s.tickAt = at
	s.tick = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.tickAt.Equal(at) {
			s.tickAt = time.Time{}
			s.stepLocked(Tick{})
		}
	})
}

// deliverLocked sends a decision to the call that waits for it, if it still does. s.mu must be held.
func (s *Server) deliverLocked(a Action) {
	var call uint64
	switch a := a.(type) {
	case Admit:
		call = a.Call
	case Refuse:
		call = a.Call
	case Lost:
		s.doubtRunLocked(a.Call)
		return
	case Queue:
		return
	}
	if decision, ok := s.pending[call]; ok {
		delete(s.pending, call)
		decision <- a
	}
}

func (s *Server) step(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(e)
}

// ServeCall admits or refuses a call and runs an admitted one on the backend server; it replies through in.Reply or in.Refuse.
// It returns when the call has ended and its slot is released.
//
// The end of ctx cancels the call. If no part of an answer has been forwarded, the call is refused with ReasonTimeout
// if the cause of ctx is context.DeadlineExceeded, otherwise with ReasonCancelled. ServeCall does not enforce the timeout of an admitted call itself; it relies on the end of ctx.
func (s *Server) ServeCall(ctx context.Context, in link.InboundCall) {
	s.init()
	h := in.Head()
	if h.Target != s.Self || h.Service != s.Service {
		s.refuse(in, h, wire.Refusal{Reason: wire.ReasonWrongMember})
		return
	}
	s.calls.Add(1) // before the gate, so that a server which reports no calls after its gate has closed runs none
	defer s.calls.Add(-1)
	if !s.passesGate(in, h) {
		return
	}
	arrived := s.Now()
	if h.Content != 0 {
		s.Quarantine.Compare(in.Peer(), h.Quarantine)
	}
	content := contentOf(h)
	if r, refused := s.Quarantine.Refuses(content); refused {
		s.refuse(in, h, r)
		return
	}
	s.unadmitted.Add(1)
	decided := sync.OnceFunc(func() { s.unadmitted.Add(-1) })
	defer decided()
	body, release, ok := s.bufferBody(ctx, in, &h)
	if !ok {
		return
	}
	defer release()
	if !s.passesGate(in, h) { // again, since the body may have taken long
		return
	}
	call := s.lastCall.Add(1)
	if r, admitted := s.admit(ctx, call, h, s.isRemote(in), s.Now().Sub(arrived)); !admitted {
		s.refuse(in, h, r)
		return
	}
	decided()
	s.counters.admitted.Inc()
	x := &exchange{s: s, ctx: ctx, in: in, head: h, content: content, body: body, call: call, arrived: arrived, admitted: s.Now()}
	defer x.recoverPanic()
	x.run()
}

// bufferBody buffers a request body that is longer than maxSmallBody or of unknown length before the call requests a slot, and then sets the body length and clears the patience in h.
// A body whose stated length exceeds maxBufferedBody is streamed instead.
// What exceeds maxBufferedBody or maxBufferMemory is streamed after the buffered part, with the body length as stated. bufferBody returns the body, a function that releases its memory, and false if the call was refused.
func (s *Server) bufferBody(ctx context.Context, in link.InboundCall, h *wire.CallHead) (io.Reader, func(), bool) {
	if h.BodyLength >= 0 && h.BodyLength <= maxSmallBody || h.BodyLength > maxBufferedBody {
		return in.Body(), func() {}, true
	}
	if r, refused := s.wouldRefuse(*h, s.isRemote(in)); refused {
		s.refuse(in, *h, r)
		return nil, nil, false
	}
	b, err := s.bodyBuffer.read(in.Body())
	if err != nil {
		s.refuse(in, *h, wire.Refusal{Reason: cancelReason(ctx)}) // Body fails only if the call is cancelled, times out or loses its link
		return nil, nil, false
	}
	n := b.length(h.BodyLength)
	if h.BodyLength >= 0 && n != h.BodyLength {
		b.release()
		s.Log.Info("refused an upload whose body has another length than stated", "request_id", h.TraceID, "stated", h.BodyLength, "arrived", n)
		s.refuse(in, *h, wire.Refusal{Reason: wire.ReasonCancelled})
		return nil, nil, false
	}
	h.BodyLength, h.PatienceMS = n, 0 // a call whose body has arrived is not sent to another server, so its patience no longer applies
	return b.reader(), b.release, true
}

// refuse sends the refusal, with the current load, to the caller's daemon, and counts and logs it.
func (s *Server) refuse(in link.InboundCall, h wire.CallHead, r wire.Refusal) {
	if h.Content == 0 {
		r.Reason = reasonForOlderBuild(r.Reason)
	}
	r.Load, r.LinkDelayMS, r.SpeedPercent = s.loadFor(h)
	r.StartedAt = s.startToName(h, r.Reason)
	in.Refuse(r)
	s.counters.countRefusal(r.Reason)
	if log := s.rolloutLog(s.callLog(h.Tenant)); log.Enabled() {
		log.Info("refused", "request_id", h.TraceID, "route", h.Route, "attempt", h.Attempt, "reason", r.Reason.String(), "may_have_run", r.MayHaveRun,
			"priority", h.Priority, "objective_ms", h.ObjectiveMS, "timeout_ms", h.TimeoutMS, "patience_ms", h.PatienceMS, "final", h.Final,
			"free", r.Load.Free, "backlog_ms", r.Load.Backlog, "retry_after_ms", r.RetryAfterMS)
	}
}

// startToName returns the start of the backend server that a refusal for its leave or its replacement
// speaks of, in Unix milliseconds; 0 if it speaks of none, or of an earlier member, or if it is unknown.
func (s *Server) startToName(h wire.CallHead, reason wire.RefusalReason) int64 {
	if s.StartedAt == nil || h.Target != s.Self || reason != wire.ReasonLeaving && reason != wire.ReasonWrongMember {
		return 0
	}
	if at := s.StartedAt(); !at.IsZero() {
		return at.UnixMilli()
	}
	return 0
}

// callLog returns the logger for per-call lines, with the tenant's name if there is one: at the
// default level with heartbeats, otherwise at verbosity 1.
func (s *Server) callLog(tenant string) logr.Logger {
	log := s.Log
	if !s.UsesHeartbeats {
		log = log.V(1)
	}
	if tenant != "" && log.Enabled() {
		log = log.WithValues("tenant", tenant)
	}
	return log
}

// Drain starts a drain, as DrainAfter does, with the grace period of the current document, at most maxDrainGrace.
func (s *Server) Drain() {
	s.init()
	grace := maxDrainGrace
	if d := s.document(); d != nil {
		grace = min(grace, d.DrainGrace.Std())
	}
	s.DrainAfter(grace)
}

func (s *Server) document() *document.Document {
	if s.Document == nil {
		return nil
	}
	return s.Document()
}

// Load returns the load of the backend server; see Core.Load.
func (s *Server) Load() wire.Load {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Load(s.Now())
}

// loadFor returns the load for the caller's daemon, in milliseconds the time for which long answers
// use the network connection of this VM, and the current speed.
func (s *Server) loadFor(h wire.CallHead) (wire.Load, int64, int32) {
	e := Arrive{Priority: h.Priority}
	if s.OutboundDelay != nil {
		e.LinkDelay, _ = s.OutboundDelay()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	return s.core.LoadFor(now, h.Route, h.Priority), s.core.linkWait(now, e, false).Milliseconds(), s.core.SpeedPercent(now)
}

// isRemote reports whether a call comes from another VM.
func (s *Server) isRemote(in link.InboundCall) bool { return in.Peer().ID != s.Self }

// InFlight returns the number of calls that hold a slot.
func (s *Server) InFlight() int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.InFlight()
}

// MayRun reports whether a call holds a slot or may still get one.
func (s *Server) MayRun() bool { return s.unadmitted.Load() > 0 || s.InFlight() > 0 }

// Parent returns the call in flight for which a token was issued, and false if there is none.
func (s *Server) Parent(token string) (Parent, bool) { return s.tokens.lookup(token) }
