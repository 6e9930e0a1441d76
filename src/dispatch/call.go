package dispatch

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxTotalAttempts = 8
	// watchAfter is how long a call runs before its caller's connection is watched.
	watchAfter = 10 * time.Millisecond
)

// call carries out the core's actions for one request.
type call struct {
	p         *Proxy
	id        uint64
	ctx       *fasthttp.RequestCtx
	conn      *callerConn
	match     *Match
	policy    *Policy
	body      *requestBody
	parent    Parent
	payment   *payment // nil for none
	head      wire.CallHead
	start     time.Time
	deadline  time.Time
	objective time.Time // zero for none
	base      context.Context
	cancel    context.CancelFunc

	attempts [maxTotalAttempts + 1]*attempt // by number, from 1
	results  chan int                       // numbers of attempts that have come to a result
	gone     chan struct{}
	timers   []callTimer
	watched  bool
	over     bool
	handed   bool // the answer's body outlives run
}

type callTimer struct {
	kind    TimerKind // empty for the watch of the caller's connection
	attempt int
	at      time.Time
	after   time.Duration
}

// run drives the call to its answer.
func (c *call) run() {
	defer c.finish()
	if !c.admitPayment() {
		return
	}
	c.do(c.p.step(CallArrived{
		Call: c.id, Policy: c.policy, Remaining: c.deadline.Sub(c.p.Now()),
		RetryLayer: c.parent.RetryLayer, HasBody: c.body != nil, BodyLength: c.body.length(), Objective: c.objectiveLeft(),
	}))
	c.timers = append(c.timers, callTimer{at: c.start.Add(watchAfter)})
	timer := time.NewTimer(watchAfter)
	defer timer.Stop()
	for !c.over {
		timer.Reset(c.nextTimer())
		select {
		case n := <-c.results:
			c.result(n)
		case <-timer.C:
			c.fireTimers()
		case <-c.gone:
			c.callerGone()
		case <-c.parent.Done:
			c.callerGone()
			c.parent.Done = nil
		case <-c.base.Done():
			c.callerGone()
		case <-c.p.ending:
			c.giveUp()
		}
	}
}

// objectiveLeft returns the time in which an answer is in time, 0 when there is no objective.
func (c *call) objectiveLeft() time.Duration {
	if c.objective.IsZero() {
		return 0
	}
	return c.objective.Sub(c.p.Now())
}

// finish frees what the call holds.
func (c *call) finish() {
	if c.watched {
		c.conn.unwatch()
	}
	for _, a := range c.attempts {
		if a != nil && !a.accepted {
			a.drop()
		}
	}
	if !c.handed {
		c.cancel()
	}
	if !c.body.arrived() {
		c.ctx.SetConnectionClose()
		c.conn.leaveUnread()
	}
	c.body.end()
}

// do carries out the core's actions.
func (c *call) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			c.send(a)
		case CancelAttempt:
			c.attempts[a.Attempt].drop()
		case AcceptAnswer:
			c.accept(c.attempts[a.Attempt])
		case RefuseCall:
			c.refuse(a)
		case SetTimer:
			c.timers = append(c.timers, callTimer{kind: a.Timer, attempt: a.Attempt, at: c.p.Now().Add(a.After), after: a.After})
		}
	}
}

// log returns the logger for decisions on calls of this route.
func (c *call) log() logr.Logger { return c.match.rule.logger(c.p.Log, c.match.Table.Version) }

func (c *call) refuse(a RefuseCall) {
	c.over = true
	if a.MayHaveRun {
		c.p.counters.mayHaveRun.Inc()
		c.payment.abandon()
	} else {
		c.p.counters.notRun.Inc()
		c.payment.release()
	}
	c.log().Info("refused", "request_id", c.head.TraceID, "reason", a.Reason.String(), "may_have_run", a.MayHaveRun, "retry_after_ms", a.RetryAfter.Milliseconds(), "took_ms", c.p.Now().Sub(c.start).Milliseconds())
	c.p.writeRefusal(c.ctx, a)
}

// result gives the core an attempt's result.
func (c *call) result(n int) {
	a := c.attempts[n]
	if c.body.failed() {
		c.callerGone()
		return
	}
	if a.refused != nil {
		r := a.refused
		c.log().Info("attempt failed", "request_id", c.head.TraceID, "attempt", n, "by", a.member.ID, "reason", r.Reason.String(), "may_have_run", r.MayHaveRun, "backlog_ms", r.Load.Backlog)
		c.do(c.p.step(AttemptRefused{
			Call: c.id, Attempt: n, Reason: r.Reason, MayHaveRun: r.MayHaveRun,
			RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, BodyConsumed: c.body.spent(), Load: newLoad(r.Load),
		}))
		return
	}
	c.do(c.p.step(AttemptAnswered{Call: c.id, Attempt: n, Status: int(a.reply.Head.Status), Load: newLoad(a.reply.Head.Load)}))
}

// callerGone cancels the call and closes the connection without an answer, which would say that the call did not run; a payment with a key goes on, so that its repeat is answered with the outcome.
func (c *call) callerGone() {
	if c.payment != nil && c.base.Err() == nil {
		return
	}
	c.over = true
	c.p.counters.callerGone.Inc()
	c.log().Info("caller gone", "request_id", c.head.TraceID, "after_ms", c.p.Now().Sub(c.start).Milliseconds())
	c.payment.abandon()
	c.do(c.p.step(CallerGone{Call: c.id}))
	c.ctx.SetConnectionClose()
	c.conn.abort()
}

// giveUp answers a call that has outlasted the grace of a planned stop; a payment with a key is cut, and its repeat is answered with the outcome.
func (c *call) giveUp() {
	if c.payment != nil {
		c.callerGone()
		return
	}
	sent := c.attempts[1] != nil
	c.do(c.p.step(CallerGone{Call: c.id}))
	c.refuse(RefuseCall{Call: c.id, Reason: wire.ReasonLeaving, MayHaveRun: sent, RetryAfter: minRetryAfter})
}

// nextTimer returns the time until the next timer.
func (c *call) nextTimer() time.Duration {
	next := c.start.Add(time.Hour)
	for _, t := range c.timers {
		if t.at.Before(next) {
			next = t.at
		}
	}
	return max(0, next.Sub(c.p.Now()))
}

func (c *call) fireTimers() {
	now := c.p.Now()
	due := []callTimer{}
	left := c.timers[:0]
	for _, t := range c.timers {
		if t.at.After(now) {
			left = append(left, t)
		} else {
			due = append(due, t)
		}
	}
	c.timers = left
	for _, t := range due {
		switch {
		case c.over:
		case t.kind == "":
			c.watch(now)
		case c.uploading(now, t):
			c.timers = append(c.timers, callTimer{kind: t.kind, attempt: t.attempt, at: now.Add(t.after), after: t.after})
		default:
			c.do(c.p.step(TimerFired{Call: c.id, Attempt: t.attempt, Timer: t.kind}))
		}
	}
}

// uploading tells whether the request body has still been coming within a timer's time: a slow upload is not a slow server.
func (c *call) uploading(now time.Time, t callTimer) bool {
	moved := c.body.lastMoved()
	if moved.IsZero() {
		return false
	}
	if !c.body.arrived() {
		return now.Sub(moved) < c.p.StallTimeout
	}
	return now.Sub(moved) < t.after && moved.After(t.at.Add(-t.after))
}

// watch begins to watch the caller's connection, once the request's body no longer comes from it.
func (c *call) watch(now time.Time) {
	if c.conn == nil {
		return
	}
	if !c.body.arrived() {
		c.timers = append(c.timers, callTimer{at: now.Add(watchAfter)})
		return
	}
	c.watched = true
	c.conn.watch(func() { c.gone <- struct{}{} })
}
