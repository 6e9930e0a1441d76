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
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// ParentHeader is the request header that links calls made by a backend server to the call that it is running.
	ParentHeader = "Yuccaport-Parent"

	maxDrainGrace = 2 * time.Second // upper bound on the drain_grace of the document
)

// Server admits incoming calls, runs them on the backend server and tracks its health.
type Server struct {
	Backend        settings.Backend
	Service        string
	Self           uint64                    // this member's ID
	Document       func() *document.Document // returns the document in force of Service, nil if there is none yet
	Headers        header.Names              // zero for header.Default
	UsesHeartbeats bool                      // the backend server reports its state by heartbeats, passed to SetInstance, and its health endpoint is not probed
	InboundDelay   func() time.Duration      // expected time until the bodies in transit to this VM have arrived; nil for zero
	Now            func() time.Time          // nil for time.Now
	Log            logr.Logger
	Metrics        *metrics.Set
	Record         *trace.Recorder

	once       sync.Once
	lingerCtx  context.Context // cancelled by ReleaseCancelled
	stopLinger context.CancelFunc
	pool       connPool
	tokens     parentTokens
	spool      spool
	counters   *counters
	lastCall   atomic.Uint64
	lastProbe  HealthState // state from the last probe or heartbeat; guarded by mu with heartbeats, used by Run alone without

	mu       sync.Mutex
	core     Core
	limits   document.Limits
	pending  map[uint64]chan Action
	health   healthTracker
	instance string // the only incarnation that may run calls, empty for any
}

// ReleaseCancelled releases the slots held for cancelled calls without waiting for the backend server to end them; it is called when the daemon is about to exit.
func (s *Server) ReleaseCancelled() {
	s.init()
	s.stopLinger()
}

func (s *Server) init() {
	s.once.Do(func() {
		if s.Now == nil {
			s.Now = time.Now
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
		s.pool.Addr, s.pool.Max, s.pool.Now = s.Backend.Addr, max(1, s.Backend.Connections), s.Now
		s.core.Slots, s.core.FixedLimit = max(1, s.Backend.Slots), s.UsesHeartbeats
		s.limits = document.Limits{Queue: document.DefaultQueue, QueueWait: document.Duration(document.DefaultQueueWait)}
		s.core.QueueLimit, s.core.QueueWait = s.limits.Queue, s.limits.QueueWait.Std()
		s.pending = map[uint64]chan Action{}
		s.lingerCtx, s.stopLinger = context.WithCancel(context.Background())
		s.describeTrace()
	})
}

// describeTrace writes the settings of the core into the header of a trace that has none.
func (s *Server) describeTrace() {
	if s.Record == nil || len(s.Record.Header.Settings) > 0 {
		return
	}
	settings := traceSettings{Slots: s.core.Slots, FixedLimit: s.core.FixedLimit, Queue: s.core.QueueLimit, QueueWait: s.core.QueueWait}
	s.Record.Header.Core = CoreName
	s.Record.Header.Settings, _ = json.Marshal(settings) // cannot fail for numbers
}

// stepLocked applies an event to the core and delivers the decisions to the calls that wait for them. The caller holds s.mu.
func (s *Server) stepLocked(e Event) []Action {
	now := s.Now()
	actions := s.core.Step(now, e)
	if s.Record != nil {
		if out, err := trace.Outcomes(actions); err == nil {
			s.Record.Record(now, e, out)
		}
	}
	for _, a := range actions {
		s.deliver(a)
	}
	return actions
}

// deliver sends a decision to the call that waits for it, if it still does.
func (s *Server) deliver(a Action) {
	var call uint64
	switch a := a.(type) {
	case Admit:
		call = a.Call
	case Refuse:
		call = a.Call
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

// ServeCall admits or refuses a call and runs an admitted one on the backend server. It returns when the call has ended and its slot is released.
func (s *Server) ServeCall(ctx context.Context, in link.InboundCall) {
	s.init()
	h := in.Head()
	if h.Target != s.Self || h.Service != s.Service {
		s.refuse(in, h, wire.Refusal{Reason: wire.ReasonWrongMember})
		return
	}
	arrived := s.Now()
	body, release, ok := s.bufferBody(ctx, in, &h)
	if !ok {
		return
	}
	defer release()
	call := s.lastCall.Add(1)
	if r, ok := s.admit(ctx, call, h, s.Now().Sub(arrived)); !ok {
		s.refuse(in, h, r)
		return
	}
	s.counters.admitted.Inc()
	x := &exchange{s: s, ctx: ctx, in: in, head: h, body: body, call: call, arrived: arrived, admitted: s.Now()}
	x.run()
}

// bufferBody buffers a long request body before the call requests a slot, and sets the body length in h. It returns the body, a function that releases its memory, and false if the call was refused.
func (s *Server) bufferBody(ctx context.Context, in link.InboundCall, h *wire.CallHead) (io.Reader, func(), bool) {
	if h.BodyLength >= 0 && h.BodyLength <= maxInlineBody || h.BodyLength > maxSpooledBody {
		return in.Body(), func() {}, true
	}
	if r, ok := s.wouldRefuse(*h); ok {
		s.refuse(in, *h, r)
		return nil, nil, false
	}
	b, err := s.spool.read(in.Body())
	if err != nil {
		s.refuse(in, *h, wire.Refusal{Reason: cancelReason(ctx)})
		return nil, nil, false
	}
	h.BodyLength, h.PatienceMS = b.length(h.BodyLength), 0 // a call whose body has arrived is not sent to another server, so its patience no longer applies
	return b.reader(), b.release, true
}

func (s *Server) refuse(in link.InboundCall, h wire.CallHead, r wire.Refusal) {
	r.Load = s.loadFor(h)
	in.Refuse(r)
	s.counters.refused(r.Reason)
	if log := s.callLog(); log.Enabled() {
		log.Info("refused", "request_id", h.TraceID, "route", h.Route, "attempt", h.Attempt, "reason", r.Reason.String(), "may_have_run", r.MayHaveRun,
			"priority", h.Priority, "objective_ms", h.ObjectiveMS, "timeout_ms", h.TimeoutMS, "patience_ms", h.PatienceMS, "final", h.Final,
			"free", r.Load.Free, "backlog_ms", r.Load.Backlog, "retry_after_ms", r.RetryAfterMS)
	}
}

// callLog returns the logger for per-call lines: at the default level with heartbeats, otherwise at verbosity 1.
func (s *Server) callLog() logr.Logger {
	if s.UsesHeartbeats {
		return s.Log
	}
	return s.Log.V(1)
}

// Drain refuses new calls as not run after the grace period of the document in force, at most maxDrainGrace.
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

// Load returns the free capacity of the backend server.
func (s *Server) Load() wire.Load {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Load(s.Now())
}

func (s *Server) loadFor(h wire.CallHead) wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.LoadFor(s.Now(), h.Route, h.Priority)
}

// InFlight returns the number of calls that hold a slot.
func (s *Server) InFlight() int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.InFlight()
}

// Parent returns the call in flight for which a token was issued, and false if there is none.
func (s *Server) Parent(token string) (Parent, bool) { return s.tokens.lookup(token) }
