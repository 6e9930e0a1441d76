package dispatch

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	// maxTotalAttempts is the most attempts a call can have, including those proven not to have run.
	maxTotalAttempts = 8
	// disconnectCheckDelay is how long a call runs before the proxy starts to detect whether its caller disconnects.
	disconnectCheckDelay = 10 * time.Millisecond
)

// call is one request of a caller; it carries out the core's actions.
type call struct {
	proxy     *Proxy
	id        uint64
	ctx       *fasthttp.RequestCtx
	conn      *callerConn
	progress  *progress // nil for none
	match     *Match
	policy    *Policy
	body      *requestBody
	parent    Parent
	payment   *payment        // nil for none
	tenant    *tenants.Tenant // nil for none
	tenantLog logr.Logger     // with the tenant's name; created on first use
	head      wire.CallHead
	start     time.Time
	deadline  time.Time
	objective time.Time       // zero for none
	baseCtx   context.Context // of the attempts; cancelled by Kill and when the call ends
	cancel    context.CancelFunc

	attempts          [maxTotalAttempts + 1]*attempt // by number, from 1
	results           chan int                       // numbers of attempts that have a result
	doubts            chan int                       // numbers of attempts that are doubted
	disconnected      chan struct{}                  // receives a value when the caller has disconnected
	timers            []callTimer
	detectsDisconnect bool        // a background read of the caller's connection has been started
	ended             bool        // answered, refused or aborted
	mayHaveRun        bool        // an attempt has been sent and is not proven not to have run
	streaming         atomic.Bool // the answer's body outlives run
}

// callTimer is a timer of a call. It is restarted with the same delay while the request body is still arriving.
type callTimer struct {
	kind    TimerKind // empty for the timer that starts the detection of a disconnect
	attempt int
	dueAt   time.Time
	delay   time.Duration
}

// run processes the call until it is answered, refused or aborted.
func (c *call) run() {
	defer c.cleanUp()
	defer c.forgetAfterPanic()
	if !c.admitPayment() {
		return
	}
	arrived := CallArrived{
		Call: c.id, Policy: c.policy, Remaining: c.deadline.Sub(c.proxy.Now()),
		ParentRetries: c.parent.MayRetryAfterRun, HasBody: c.body != nil, BodyLength: c.body.length(), Objective: c.timeToObjective(),
	}
	c.boundByStop(&arrived)
	c.perform(c.proxy.step(arrived))
	if c.ended && arrived.Longest > 0 {
		c.conn.endAfterPending()
	}
	c.timers = append(c.timers, callTimer{dueAt: c.start.Add(disconnectCheckDelay)})
	timer := time.NewTimer(disconnectCheckDelay)
	defer timer.Stop()
	graceEnded := c.proxy.graceEnded
	for !c.ended {
		timer.Reset(c.timeToNextTimer())
		select {
		case n := <-c.results:
			c.handleResult(n)
		case n := <-c.doubts:
			c.handleDoubt(n)
		case <-timer.C:
			if !c.handleReady() {
				c.fireTimers()
			}
		case <-c.disconnected:
			c.abortCall()
		case <-c.parent.Done:
			c.abortCall()
			c.parent.Done = nil
		case <-c.baseCtx.Done():
			c.abortCall()
		case <-graceEnded:
			graceEnded = nil // a payment goes on, and an answer that has arrived in part
			for !c.ended && c.handleReady() {
			}
			if !c.ended {
				c.endAtShutdown()
			}
		}
	}
}

// handleReady handles a result that is there, and reports whether there was one: this goroutine may
// run long after a timer was due, and the answer have come before.
func (c *call) handleReady() bool {
	select {
	case n := <-c.results:
		c.handleResult(n)
		return true
	default:
		return false
	}
}

// timeToObjective returns the time until the objective, negative after it; 0 if the call has none.
func (c *call) timeToObjective() time.Duration {
	if c.objective.IsZero() {
		return 0
	}
	return c.objective.Sub(c.proxy.Now())
}

// cleanUp ends the background read of the caller's connection, unless a streamed answer goes on, drops the attempts whose answers
// were not accepted, returns the credit of a call that has not run and releases the request body.
//
// If the body has not arrived completely, the connection is closed after the answer.
func (c *call) cleanUp() {
	if c.detectsDisconnect && !c.streaming.Load() {
		c.conn.abortBackgroundRead()
	}
	for _, a := range c.attempts {
		if a != nil && !a.accepted {
			a.drop()
		}
	}
	if !c.mayHaveRun {
		c.proxy.returnCredit(c.tenant)
	}
	if !c.streaming.Load() {
		c.cancel()
	}
	if !c.body.isComplete() {
		c.ctx.SetConnectionClose()
		c.conn.stopReading()
	}
	c.body.detach()
}

// perform carries out the core's actions.
func (c *call) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			c.sendAttempt(a)
		case CancelAttempt:
			c.attempts[a.Attempt].drop()
		case AcceptAnswer:
			c.acceptAnswer(c.attempts[a.Attempt])
		case RefuseCall:
			c.refuse(a)
		case SetTimer:
			c.timers = append(c.timers, callTimer{kind: a.Timer, attempt: a.Attempt, dueAt: c.proxy.Now().Add(a.After), delay: a.After})
		}
	}
}

// log returns the logger for calls of this route, and of this tenant if there is one.
func (c *call) log() logr.Logger {
	if c.tenantLog.GetSink() != nil {
		return c.tenantLog
	}
	log := c.match.tableRoute.logger(c.proxy.Log, c.match.Table.Version)
	if c.tenant == nil || !log.Enabled() {
		return log
	}
	c.tenantLog = log.WithValues("tenant", c.tenant.Name)
	return c.tenantLog
}

// refuse ends the call without an answer from a backend server; the caller receives the refusal.
func (c *call) refuse(a RefuseCall) {
	c.ended = true
	c.mayHaveRun = a.MayHaveRun
	if a.MayHaveRun {
		c.proxy.counters.mayHaveRun.Inc()
		c.payment.abandon()
	} else {
		c.proxy.counters.notRun.Inc()
		c.payment.release()
	}
	log := c.proxy.cuts.WithSignal(c.log())
	if a.Reason == wire.ReasonCrashed || a.Reason == wire.ReasonQuarantined {
		log = log.WithValues("content", quarantine.FormatContent(c.head.Content)) // the line "request quarantined" names the crashes
	}
	log.Info("refused", "request_id", c.head.TraceID, "reason", a.Reason.String(), "may_have_run", a.MayHaveRun, "sent", c.attempts[1] != nil, "retry_after_ms", a.RetryAfter.Milliseconds(), "took_ms", c.proxy.Now().Sub(c.start).Milliseconds())
	c.proxy.writeRefusal(c.ctx, a)
	c.progress.refusedBy(c.enderOfRefusal(a.Reason), a.Reason.String())
}

// handleResult reports an attempt's result to the core.
func (c *call) handleResult(n int) {
	a := c.attempts[n]
	if err := c.body.failure(); err != nil {
		c.abortWithBody(err)
		return
	}
	if a.refusal != nil {
		r := a.refusal
		c.body.invalidate(a.requestBody) // before isConsumed is read, so that a read in progress cannot change it afterwards
		c.log().Info("attempt failed", "request_id", c.head.TraceID, "attempt", n, "by", a.member.ID, "reason", r.Reason.String(), "may_have_run", r.MayHaveRun, "backlog_ms", r.Load.Backlog)
		c.perform(c.proxy.step(AttemptRefused{
			Call: c.id, Attempt: n, Reason: r.Reason, MayHaveRun: r.MayHaveRun, Repeated: r.Repeated,
			RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, StartedAt: startOf(r), BodyConsumed: c.body.isConsumed(), Load: newLoad(r.Load, r.LinkDelayMS, r.SpeedPercent),
		}))
		return
	}
	c.perform(c.proxy.step(AttemptAnswered{Call: c.id, Attempt: n, Status: int(a.reply.Head.Status), Size: a.reply.Head.BodyLength, Held: a.heldFor(), Load: newLoad(a.reply.Head.Load, a.reply.Head.LinkDelayMS, a.reply.Head.SpeedPercent), Leaving: a.reply.Head.Leaving}))
}

// handleDoubt reports to the core that an attempt without a result is doubted. Its backend server has the whole request body.
func (c *call) handleDoubt(n int) {
	a := c.attempts[n]
	if a.isDelivered() || a.held.Load() != nil || !c.body.isComplete() {
		return
	}
	c.log().Info("attempt doubted", "request_id", c.head.TraceID, "attempt", n, "by", a.member.ID, "silent", a.silent.Load())
	c.perform(c.proxy.step(AttemptDoubted{Call: c.id, Attempt: n, BodyConsumed: c.body.isConsumed(), Silent: a.silent.Load()}))
}

// abortCall cancels the call and resets the caller's connection without an answer: the call may have run, and a refusal might state that it has not.
//
// A payment continues unless the proxy is killed, so that its repeat is answered with the outcome.
func (c *call) abortCall() { c.abortBy(c.enderOfAbort(), nil) }

// abortWithBody aborts a call whose request body has not arrived whole.
func (c *call) abortWithBody(err error) {
	by := c.enderOfAbort()
	switch {
	case errors.Is(err, errBodyTooLarge):
		by = cut.Refusal
		c.conn.noteClose(closeBodyUnread)
	case c.conn.isClosingFor(closeOverhead):
		by, err = cut.Refusal, errTooMuchOverhead
	case c.conn.isClosingFor(closeStall):
		err = os.ErrDeadlineExceeded
	}
	c.abortBy(by, err)
}

// abortBy does what abortCall does, for a known ender and an error, which may be nil.
func (c *call) abortBy(by cut.Ender, err error) {
	if c.payment != nil && c.baseCtx.Err() == nil {
		return
	}
	c.ended = true
	c.proxy.counters.callsAborted.Inc()
	c.payment.abandon()
	c.perform(c.proxy.step(CallerGone{Call: c.id}))
	c.ctx.SetConnectionClose()
	c.conn.noteClose(closeReasonOf(by))
	c.progress.cut(by, err)
	c.conn.abort()
}

// timeToNextTimer returns the time until the next timer is due.
func (c *call) timeToNextTimer() time.Duration {
	next := c.start.Add(time.Hour)
	for _, t := range c.timers {
		if t.dueAt.Before(next) {
			next = t.dueAt
		}
	}
	return max(0, next.Sub(c.proxy.Now()))
}

func (c *call) fireTimers() {
	now := c.proxy.Now()
	due := []callTimer{}
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.dueAt.After(now) {
			pending = append(pending, t)
		} else {
			due = append(due, t)
		}
	}
	c.timers = pending
	for _, t := range due {
		switch {
		case c.ended:
		case t.kind == "":
			c.detectDisconnect(now)
		case c.delayedByUpload(now, t):
			c.timers = append(c.timers, callTimer{kind: t.kind, attempt: t.attempt, dueAt: now.Add(t.delay), delay: t.delay})
		default:
			c.perform(c.proxy.step(TimerFired{Call: c.id, Attempt: t.attempt, Timer: t.kind}))
		}
	}
}

// delayedByUpload reports whether a due timer is to be restarted because of a slow upload, which does not mean that the server is slow: bytes of an incomplete body arrived within StallTimeout, or the last bytes of a complete one arrived while the timer was running.
func (c *call) delayedByUpload(now time.Time, t callTimer) bool {
	progress := c.body.lastProgress()
	if progress.IsZero() {
		return false
	}
	if !c.body.isComplete() {
		return now.Sub(progress) < c.proxy.StallTimeout
	}
	return now.Sub(progress) < t.delay && progress.After(t.dueAt.Add(-t.delay))
}

// detectDisconnect starts a background read that detects whether the caller disconnects. While the request body is still arriving, perhaps without being read because the call waits, it checks for the end of the connection every disconnectCheckDelay.
func (c *call) detectDisconnect(now time.Time) {
	if c.conn == nil {
		return
	}
	if !c.body.isComplete() {
		if c.conn.hasLeftUnread() {
			c.abortCall()
			return
		}
		c.timers = append(c.timers, callTimer{dueAt: now.Add(disconnectCheckDelay)})
		return
	}
	c.detectsDisconnect = true
	c.conn.startBackgroundRead(func() {
		c.disconnected <- struct{}{}
		c.cancelStream()
	})
}

// cancelStream cancels the streamed answer, if there is one, of a caller that has disconnected. A
// payment continues, so that its repeat is answered with the outcome.
func (c *call) cancelStream() {
	if c.streaming.Load() && len(c.disconnected) > 0 && c.payment == nil {
		c.cancel()
	}
}
