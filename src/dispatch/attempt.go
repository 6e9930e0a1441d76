package dispatch

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// uploadTimeout is the timeout stated to the member for an attempt whose request body is still arriving. The proxy itself applies the route's timeout, from the end of the body.
//
// A backend server that neither answers such a call nor closes the connection after its cancellation keeps a slot occupied for about that long.
const uploadTimeout = 2 * time.Minute

// attempt is one transmission of a call to one member.
type attempt struct {
	call   *call
	number int
	member wire.Member
	sentAt time.Time
	holdBy time.Time // when a long answer is passed on at the latest
	ctx    context.Context
	cancel context.CancelFunc

	requestBody io.Reader // nil for none
	silent      atomic.Bool

	reply    *link.Reply
	body     []byte    // the answer's body, if buffered
	buffered bool      // the answer has been read completely, or up to where it was truncated
	headAt   time.Time // when its head arrived, if it is held
	held     atomic.Pointer[heldAnswer]
	refusal  *wire.Refusal
	accepted bool

	mu        sync.Mutex
	delivered bool // the attempt's number has been sent to call.results
	dropped   bool // cancelled; a result is closed unread
}

// sendAttempt starts an attempt on a worker of the proxy.
func (c *call) sendAttempt(s SendAttempt) {
	a := &attempt{call: c, number: s.Attempt, member: c.proxy.member(s.Member), sentAt: c.proxy.Now()}
	a.holdBy = a.sentAt.Add(c.holdTime(s.Timeout))
	a.ctx, a.cancel = context.WithCancel(link.WithDoubt(c.baseCtx, a.onDoubt))
	a.requestBody = c.body.newReader()
	c.attempts[s.Attempt] = a
	c.progress.send()
	c.mayHaveRun = true
	head := c.head
	head.Target, head.Service, head.Attempt, head.Final = s.Member, s.Service, uint8(s.Attempt), s.Final
	head.TimeoutMS = max(1, (s.Timeout + time.Millisecond - 1).Milliseconds()) // rounded up, since the run would end before its deadline otherwise
	head.PatienceMS = s.MaxQueueWait.Milliseconds()
	head.Quarantine = c.proxy.Quarantine.Digest()
	if !c.body.isComplete() {
		head.TimeoutMS = uploadTimeout.Milliseconds()
	}
	head.Rollout = s.Rollout
	if s.Objective != 0 {
		head.ObjectiveMS = cmp.Or(s.Objective.Milliseconds(), -1) // 0 would mean no objective
	}
	c.countAttempt(s)
	log := c.log()
	if s.Rollout != 0 {
		log = log.WithValues("rollout", s.Rollout, "to_version", a.member.Version, "to_new", s.New)
	}
	log.Info("dispatch", "request_id", head.TraceID, "service", s.Service, "to", s.Member, "attempt", s.Attempt, "reason", string(s.Reason),
		"wait_ms", s.Backlog.Milliseconds(), "load_age_ms", s.LoadAge.Milliseconds(), "speed_percent", s.SpeedPercent, "timeout_ms", head.TimeoutMS, "objective_ms", head.ObjectiveMS, "patience_ms", head.PatienceMS, "final", s.Final)
	if err := c.proxy.pool.Go(func() { a.run(head) }); err != nil {
		a.deliver(link.Refused{Refusal: wire.Refusal{Reason: wire.ReasonLimit, RetryAfterMS: 1000}})
	}
}

func (c *call) countAttempt(s SendAttempt) {
	c.proxy.counters.attempts.Inc()
	if s.Attempt > 1 {
		c.proxy.counters.retries.Inc()
	}
}

// run sends the call and delivers the result. A payment is sent only while its claim allows it, and
// a request that is quarantined is not sent.
func (a *attempt) run(head wire.CallHead) {
	defer a.recoverPanic()
	if r, refused := a.call.proxy.Quarantine.Refuses(head.Content); refused {
		a.deliver(link.Refused{Refusal: r})
		return
	}
	if pay := a.call.payment; pay != nil && pay.confirm(a.ctx) != nil {
		a.deliver(link.Refused{Refusal: wire.Refusal{Reason: wire.ReasonNotReady, RetryAfterMS: 1000}})
		return
	}
	a.deliver(a.call.proxy.Transport.Call(a.ctx, link.Peer{ID: a.member.ID, Addr: a.member.Addr}, head, a.requestBody))
}

// deliver passes the result to the call, a long answer once none of it needs to be held any longer.
func (a *attempt) deliver(o link.Outcome) {
	switch o := o.(type) {
	case link.Reply:
		a.reply = &o
		if !isWellFormedReply(o.Head) {
			_ = o.Body.Close()
			a.refusal = a.cutRefusal()
			break
		}
		if a.isHeld() {
			a.hold()
			return
		}
		a.bufferAnswer()
	case link.Refused:
		a.refusal = &o.Refusal
	}
	a.publish()
}

// publish passes the result to the call, or closes it unread if the attempt has been dropped.
func (a *attempt) publish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		a.close()
		return
	}
	a.delivered = true
	a.call.results <- a.number
}

// onDoubt passes a doubt to the call.
func (a *attempt) onDoubt(d link.Doubt) {
	if d == link.DoubtSilent {
		a.silent.Store(true)
	}
	select {
	case a.call.doubts <- a.number:
	default: // it is not the first one
	}
}

// isDelivered reports whether the attempt has a result.
func (a *attempt) isDelivered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.delivered
}

// bufferAnswer reads a short answer completely, so that none of it reaches the caller if it is truncated.
func (a *attempt) bufferAnswer() {
	n := a.reply.Head.BodyLength
	if n < 0 || n > maxBufferedAnswer || a.call.head.Method == fasthttp.MethodHead {
		return
	}
	if !a.call.conn.reserve(int(n)) {
		return
	}
	a.buffered = true
	a.call.progress.advance(cut.AnswerArriving)
	a.body = make([]byte, n)
	_, err := io.ReadFull(a.reply.Body, a.body)
	if err == nil {
		_, err = io.ReadFull(a.reply.Body, make([]byte, 1))
	}
	if errors.Is(err, io.EOF) {
		_ = a.reply.Body.Close()
		return
	}
	a.refusal = a.cutRefusal()
}

// cutRefusal returns the refusal of a call whose answer was lost before any of it was passed on.
func (a *attempt) cutRefusal() *wire.Refusal {
	return &wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true, Load: a.reply.Head.Load, SpeedPercent: a.reply.Head.SpeedPercent}
}

// holdTime returns how long after its beginning an attempt's answer is held at most: while neither
// the attempt times out nor another one is hedged.
func (c *call) holdTime(timeout time.Duration) time.Duration {
	if d := c.policy.HedgeAfter; d > 0 {
		timeout = min(timeout, d)
	}
	return timeout / 2
}

// isHeld reports whether the answer is a long one to a call that may be sent again.
func (a *attempt) isHeld() bool {
	n, h := a.reply.Head.BodyLength, a.call.head
	return (n < 0 || n > maxBufferedAnswer) && h.Idempotent && h.Method != fasthttp.MethodHead && a.call.payment == nil
}

// hold reads a long answer as far as it is held, and delivers it.
func (a *attempt) hold() {
	a.call.progress.advance(cut.AnswerArriving)
	h := newHeldAnswer(a.reply.Body, a.reply.Head.BodyLength, &a.call.proxy.answerMemory)
	a.headAt, a.reply.Body = a.call.proxy.Now(), h
	a.held.Store(h)
	timer := time.AfterFunc(max(0, a.holdBy.Sub(a.headAt)), func() { a.passOnHeld() })
	defer timer.Stop()
	h.fill()
	if !h.release() {
		return
	}
	if h.isBroken() {
		a.refusal = a.cutRefusal()
	}
	a.publish()
}

// heldFor returns how long ago the head of an answer that was held arrived, 0 if it was not.
func (a *attempt) heldFor() time.Duration {
	if a.headAt.IsZero() {
		return 0
	}
	return a.call.proxy.Now().Sub(a.headAt)
}

// passOnHeld delivers an answer that is held, as far as it has arrived, and reports whether it did.
func (a *attempt) passOnHeld() bool {
	h := a.held.Load()
	if h == nil || !h.release() {
		return false
	}
	a.publish()
	return a.isDelivered()
}

// drop cancels the attempt; a result that arrives later is closed unread.
func (a *attempt) drop() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		return
	}
	a.dropped = true
	if a.delivered {
		a.close()
	}
}

func (a *attempt) close() {
	a.cancel()
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
}
