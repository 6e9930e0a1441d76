package dispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// uploadTimeout bounds a call whose request body is still coming; the route's timeout runs from the body's end.
//
// A backend server that never ends such a call loses a slot for as long.
const uploadTimeout = 2 * time.Minute

// attempt is one sending of a call to one member.
type attempt struct {
	call   *call
	number int
	member wire.Member
	sent   time.Time
	ctx    context.Context
	cancel context.CancelFunc

	reply    *link.Reply
	whole    []byte // the answer's body when it is short
	short    bool
	refused  *wire.Refusal
	accepted bool

	mu      sync.Mutex
	done    bool // the result is in the call's channel
	dropped bool
}

// send begins an attempt.
func (c *call) send(s SendAttempt) {
	a := &attempt{call: c, number: s.Attempt, member: c.p.member(s.Member), sent: c.p.Now()}
	a.ctx, a.cancel = context.WithCancel(c.base)
	c.attempts[s.Attempt] = a
	head := c.head
	head.Target, head.Service, head.Attempt, head.Final = s.Member, s.Service, uint8(s.Attempt), s.Final
	head.TimeoutMS = max(1, s.Timeout.Milliseconds())
	head.PatienceMS = s.Patience.Milliseconds()
	if !c.body.arrived() {
		head.TimeoutMS = uploadTimeout.Milliseconds()
	}
	if !c.objective.IsZero() {
		head.ObjectiveMS = c.objective.Sub(a.sent).Milliseconds()
	}
	body := c.body.open()
	c.count(s)
	c.log().Info("dispatch", "request_id", head.TraceID, "service", s.Service, "to", s.Member, "attempt", s.Attempt, "reason", string(s.Reason),
		"wait_ms", s.ExpectedWait.Milliseconds(), "load_age_ms", s.LoadAge.Milliseconds(), "timeout_ms", head.TimeoutMS, "objective_ms", head.ObjectiveMS, "patience_ms", head.PatienceMS, "final", s.Final)
	if err := c.p.pool.Go(func() { a.run(head, body) }); err != nil {
		a.deliver(link.Refused{Refusal: wire.Refusal{Reason: wire.ReasonLimit, RetryAfterMS: 1000}})
	}
}

func (c *call) count(s SendAttempt) {
	c.p.counters.attempts.Inc()
	if s.Attempt > 1 {
		c.p.counters.retries.Inc()
	}
}

func (a *attempt) run(head wire.CallHead, body io.Reader) {
	if y := a.call.payment; y != nil && y.confirm(a.ctx) != nil {
		a.deliver(link.Refused{Refusal: wire.Refusal{Reason: wire.ReasonNotReady, RetryAfterMS: 1000}})
		return
	}
	a.deliver(a.call.p.Transport.Call(a.ctx, link.Peer{ID: a.member.ID, Addr: a.member.Addr}, head, body))
}

// deliver hands the result to the call, or closes it when the attempt has been dropped.
func (a *attempt) deliver(o link.Outcome) {
	switch o := o.(type) {
	case link.Reply:
		a.reply = &o
		a.readShort()
	case link.Refused:
		a.refused = &o.Refusal
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		a.close()
		return
	}
	a.done = true
	a.call.results <- a.number
}

// readShort reads a short answer whole, so that one that is cut never begins to reach the caller.
func (a *attempt) readShort() {
	n := a.reply.Head.BodyLength
	if n < 0 || n > shortAnswer || a.call.head.Method == fasthttp.MethodHead {
		return
	}
	a.short = true
	a.whole = make([]byte, n)
	_, err := io.ReadFull(a.reply.Body, a.whole)
	if err == nil {
		_, err = io.ReadFull(a.reply.Body, make([]byte, 1))
	}
	if errors.Is(err, io.EOF) {
		_ = a.reply.Body.Close()
		return
	}
	a.refused = &wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true, Load: a.reply.Head.Load}
}

// drop gives the attempt up; a result that comes later is closed unread.
func (a *attempt) drop() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		return
	}
	a.dropped = true
	if a.done {
		a.close()
	}
}

func (a *attempt) close() {
	a.cancel()
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
}
