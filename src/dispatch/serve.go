package dispatch

import (
	"context"
	"errors"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/wire"
)

const maxDeadlineMS = 24 * 60 * 60 * 1000 // a caller that states more states none

// serve handles one request of a caller.
func (p *Proxy) serve(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*callerConn)
	if conn != nil {
		conn.setBusy(true)
	}
	p.counters.calls.Inc()
	if p.acceptable(ctx) {
		p.route(ctx, conn)
	}
	p.echoID(ctx)
	if p.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// acceptable refuses a request that is malformed or larger than the limits, and closes its connection.
func (p *Proxy) acceptable(ctx *fasthttp.RequestCtx) bool {
	l := p.limits()
	_, isPath := sentPath(ctx)
	switch {
	case !wellFormed(&ctx.Request.Header) || !isPath:
		p.reject(ctx, fasthttp.StatusBadRequest, "malformed", "send one Host, one length or chunks, and a path")
	case len(ctx.Request.Header.RawHeaders()) > l.HeaderBytes:
		p.reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large", "send a header of at most "+strconv.Itoa(l.HeaderBytes)+" bytes")
	case int64(ctx.Request.Header.ContentLength()) > l.BodyBytes:
		p.reject(ctx, fasthttp.StatusRequestEntityTooLarge, "body_too_large", "send a body of at most "+strconv.FormatInt(l.BodyBytes, 10)+" bytes")
	default:
		return true
	}
	return false
}

// reject ends a request that is not to be repeated as it is.
func (p *Proxy) reject(ctx *fasthttp.RequestCtx, status int, reason, remedy string) {
	p.counters.notRun.Inc()
	p.Log.Info("rejected", "request_id", p.requestID(ctx), "reason", reason, "status", status)
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*callerConn); ok {
		conn.leaveUnread()
	}
	writeOwn(ctx, status, outcomeNotRun, refusalBody{Reason: reason, Remedy: remedy})
}

// unreadable answers a request whose header cannot be read, or has not come in time.
func (p *Proxy) unreadable(ctx *fasthttp.RequestCtx, err error) {
	status, reason := fasthttp.StatusBadRequest, "malformed"
	var small *fasthttp.ErrSmallBuffer
	conn, _ := ctx.Conn().(*callerConn)
	switch {
	case errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large"
	case errors.Is(err, os.ErrDeadlineExceeded) || conn.headerLate():
		status, reason = fasthttp.StatusRequestTimeout, "header_timeout"
	}
	p.counters.notRun.Inc()
	p.Log.Info("rejected", "reason", reason, "status", status, "cause", err.Error())
	ctx.SetConnectionClose()
	writeOwn(ctx, status, outcomeNotRun, refusalBody{Reason: reason, Remedy: "send the whole header of a well-formed request in time"})
}

// requestID returns the caller's ID of a request, empty for none.
func (p *Proxy) requestID(ctx *fasthttp.RequestCtx) string {
	if p.Headers.RequestID == "" {
		return ""
	}
	return string(ctx.Request.Header.Peek(p.Headers.RequestID))
}

// echoID puts the request's ID on an answer that lacks it.
func (p *Proxy) echoID(ctx *fasthttp.RequestCtx) {
	id := p.requestID(ctx)
	if id != "" && len(ctx.Response.Header.Peek(p.Headers.RequestID)) == 0 {
		ctx.Response.Header.Set(p.Headers.RequestID, id)
	}
}

func (p *Proxy) route(ctx *fasthttp.RequestCtx, conn *callerConn) {
	path, _ := sentPath(ctx)
	t := p.currentTable()
	if t == nil {
		p.refuse(ctx, RefuseCall{Reason: wire.ReasonNotReady, RetryAfter: p.Settings.NotReadyRetry})
		return
	}
	m, ok := t.Match(string(ctx.Host()), path, string(ctx.Method()))
	if !ok {
		p.counters.noRoute.Inc()
		p.Log.Info("refused", "request_id", p.requestID(ctx), "host", string(ctx.Host()), "path", path, "reason", "no_route", "version", t.Version)
		closeUnread(ctx)
		writeOwn(ctx, fasthttp.StatusNotFound, outcomeNotRun, refusalBody{
			Reason: "no_route",
			Remedy: "check the request's host and path, or add a route to the service's document",
		})
		return
	}
	body, err := readBody(ctx, conn, p.limits().BodyBytes)
	if err != nil {
		ctx.SetConnectionClose()
		writeOwn(ctx, fasthttp.StatusBadRequest, outcomeNotRun, refusalBody{Reason: "request_body", Remedy: "send the whole body, of at most " + strconv.Itoa(maxRequestBody) + " bytes"})
		return
	}
	p.newCall(ctx, conn, m, body).run()
}

// refuse answers a request that was not sent anywhere.
func (p *Proxy) refuse(ctx *fasthttp.RequestCtx, r RefuseCall) {
	p.counters.notRun.Inc()
	p.Log.Info("refused", "request_id", p.requestID(ctx), "host", string(ctx.Host()), "path", string(ctx.Path()), "reason", r.Reason.String(), "may_have_run", false)
	closeUnread(ctx)
	p.writeRefusal(ctx, r)
}

// closeUnread ends the connection after the answer when a request body is still on its way; its rest must not be read as a next request.
func closeUnread(ctx *fasthttp.RequestCtx) {
	if ctx.Request.Header.ContentLength() != 0 && ctx.RequestBodyStream() != nil {
		ctx.SetConnectionClose()
		if conn, ok := ctx.Conn().(*callerConn); ok {
			conn.leaveUnread()
		}
	}
}

func (p *Proxy) newCall(ctx *fasthttp.RequestCtx, conn *callerConn, m *Match, body *requestBody) *call {
	method := string(ctx.Method())
	id := p.lastCall.Add(1)
	c := &call{
		p: p, id: id, ctx: ctx, conn: conn, match: m, body: body,
		policy: m.policy(method), start: p.Now(),
		results: make(chan int, maxTotalAttempts), gone: make(chan struct{}, 1),
	}
	c.parent = p.parentOf(ctx)
	c.deadline = c.start.Add(c.timeLimit())
	if d, ok := p.callerDeadline(ctx); ok && c.start.Add(d).Before(c.deadline) {
		c.deadline = c.start.Add(d)
	}
	if d := c.parent.Deadline; !d.IsZero() && d.Before(c.deadline) {
		c.deadline = d
	}
	c.base, c.cancel = context.WithCancel(p.base)
	if o := m.Route.Objective.Std(); o > 0 {
		c.objective = c.start.Add(o)
	}
	c.head = wire.CallHead{
		Caller:  p.callerService(),
		TraceID: c.traceID(), Route: m.Route.Name, Method: method,
		Host: string(ctx.Host()), URI: string(ctx.RequestURI()), Fields: p.requestFields(&ctx.Request.Header),
		BodyLength: body.length(), Priority: m.Route.Priority.Rank(), Idempotent: c.policy.Idempotent,
		Depth: c.parent.Depth, RetryLayer: c.retriesBelow(), Version: m.Table.Version,
	}
	return c
}

// parentOf looks up the call that the caller is running, if it names one.
func (p *Proxy) parentOf(ctx *fasthttp.RequestCtx) Parent {
	token := string(ctx.Request.Header.Peek(parentField))
	if token == "" || p.LookupParent == nil {
		return Parent{}
	}
	parent, ok := p.LookupParent(token)
	if !ok {
		return Parent{}
	}
	parent.Depth++
	return parent
}

func (c *call) timeLimit() time.Duration {
	if d := c.match.Route.Deadline.Std(); d > 0 {
		return d
	}
	return c.p.Settings.Deadline
}

// retriesBelow tells the daemons further down the chain that one above them retries.
func (c *call) retriesBelow() bool {
	return c.parent.RetryLayer || (c.policy.Idempotent && c.policy.Attempts > 1)
}

// callerDeadline returns how long the caller waits, if it says so.
func (p *Proxy) callerDeadline(ctx *fasthttp.RequestCtx) (time.Duration, bool) {
	n, err := strconv.ParseInt(string(ctx.Request.Header.Peek(p.Headers.Deadline)), 10, 64)
	return time.Duration(n) * time.Millisecond, err == nil && n > 0 && n < maxDeadlineMS
}

// callerService returns the service on whose VM callers speak to this proxy.
func (p *Proxy) callerService() string {
	if p.Headers.Caller == "" {
		return ""
	}
	return p.Self().Service
}

func (c *call) traceID() string {
	if id := c.p.requestID(c.ctx); id != "" {
		return id
	}
	if c.parent.TraceID != "" {
		return c.parent.TraceID
	}
	return c.p.tracePrefix + strconv.FormatUint(c.id, 36)
}
