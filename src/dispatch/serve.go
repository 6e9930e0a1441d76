package dispatch

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/drain"
	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxDeadlineMS  = 24 * 60 * 60 * 1000    // a deadline of a day or more counts as none
	fullRetryAfter = 200 * time.Millisecond // Retry-After while memory or connections are used up
)

// serve handles one request of a caller.
func (p *Proxy) serve(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*callerConn)
	if conn != nil {
		conn.setBusy(true)
		conn.setBodyLength(ctx.Request.Header.ContentLength())
		conn.beginProgress(p.requestID(ctx), cut.Body)
	}
	p.counters.calls.Inc()
	defer p.recoverRequest(ctx, conn)
	isWhole := false
	switch {
	case conn != nil && conn.surplus:
		conn.noteClose(closeLimit)
		p.refuse(ctx, RefuseCall{Reason: wire.ReasonLimit, RetryAfter: fullRetryAfter})
		ctx.SetConnectionClose()
	case p.checkRequest(ctx):
		isWhole = ctx.RequestBodyStream() == nil
		p.route(ctx, conn)
	}
	conn.setMayPipeline(isWhole)
	p.echoRequestID(ctx)
	if ctx.Request.Header.ConnectionClose() {
		conn.noteClose(closeRequested)
	}
	if p.phase() >= drain.PhaseFinish && conn.mayAnnounceClose(ctx.Response.IsBodyStream()) || conn.hasOverflowed() || conn.hasAnsweredLast() {
		conn.noteClose(closeStop)
		ctx.SetConnectionClose()
	}
}

// checkRequest reports whether a request is well-formed and within the limits; otherwise it rejects the request.
func (p *Proxy) checkRequest(ctx *fasthttp.RequestCtx) bool {
	l := p.limits()
	_, isPath := rawPath(ctx)
	switch {
	case !isWellFormed(&ctx.Request.Header) || !isPath:
		p.reject(ctx, fasthttp.StatusBadRequest, "malformed", "send one Host, one length or chunks, and a path")
	case len(ctx.Request.Header.RawHeaders()) > l.HeaderBytes:
		p.reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large", "send a header of at most "+strconv.Itoa(l.HeaderBytes)+" bytes")
	case int64(ctx.Request.Header.ContentLength()) > l.BodyBytes:
		p.rejectBody(ctx)
	default:
		return true
	}
	return false
}

// rejectBody rejects a request whose body exceeds the limit.
func (p *Proxy) rejectBody(ctx *fasthttp.RequestCtx) {
	p.reject(ctx, fasthttp.StatusRequestEntityTooLarge, "body_too_large", "send a body of at most "+strconv.FormatInt(p.limits().BodyBytes, 10)+" bytes")
}

// reject refuses a request that must not be repeated unchanged, and closes its connection.
func (p *Proxy) reject(ctx *fasthttp.RequestCtx, status int, reason, remedy string) {
	p.counters.notRun.Inc()
	p.logRejected(p.Log, p.requestID(ctx), reason, status)
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*callerConn); ok {
		conn.noteClose(closeReasonOfStatus(status))
		conn.stopReading()
	}
	writeProxyAnswer(ctx, status, outcomeNotRun, refusalBody{Reason: reason, Remedy: remedy})
}

// logRejected logs a request that must not be repeated unchanged.
func (p *Proxy) logRejected(log logr.Logger, id, reason string, status int) {
	p.cuts.WithSignal(log).Info("rejected", "request_id", id, "reason", reason, "status", status)
}

// closeReasonOfStatus returns why a connection is closed after a request that could not be read.
func closeReasonOfStatus(status int) closeReason {
	switch status {
	case fasthttp.StatusRequestTimeout:
		return closeHeaderTimeout
	case fasthttp.StatusRequestHeaderFieldsTooLarge:
		return closeHeaderTooLarge
	case fasthttp.StatusRequestEntityTooLarge:
		return closeBodyUnread
	}
	return closeMalformed
}

// handleReadError answers a request whose header cannot be read or did not arrive in time.
func (p *Proxy) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	conn, _ := ctx.Conn().(*callerConn)
	conn.setMayPipeline(false)
	status, reason := fasthttp.StatusBadRequest, "malformed"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large"
	case errors.Is(err, os.ErrDeadlineExceeded) || conn.headerTimedOut():
		status, reason = fasthttp.StatusRequestTimeout, "header_timeout"
	}
	if conn.hasBegunRequest() && !errors.Is(err, net.ErrClosed) { // else the connection was idle, or has been closed here
		conn.beginProgress("", cut.Header)
		p.counters.calls.Inc()
		p.counters.notRun.Inc()
		p.logRejected(p.Log.WithValues("cause", readErrorText(err)), "", reason, status)
	}
	conn.noteClose(closeReasonOfStatus(status))
	ctx.SetConnectionClose()
	writeProxyAnswer(ctx, status, outcomeNotRun, refusalBody{Reason: reason, Remedy: "send the whole header of a well-formed request in time"})
}

// requestID returns the caller's ID of a request, empty for none.
func (p *Proxy) requestID(ctx *fasthttp.RequestCtx) string {
	if p.Headers.RequestID == "" {
		return ""
	}
	return string(ctx.Request.Header.Peek(p.Headers.RequestID))
}

// echoRequestID adds the request's ID to an answer that lacks it.
func (p *Proxy) echoRequestID(ctx *fasthttp.RequestCtx) {
	id := p.requestID(ctx)
	if id != "" && len(ctx.Response.Header.Peek(p.Headers.RequestID)) == 0 {
		ctx.Response.Header.Set(p.Headers.RequestID, id)
	}
}

// route finds the request's route and runs its call.
func (p *Proxy) route(ctx *fasthttp.RequestCtx, conn *callerConn) {
	path, _ := rawPath(ctx)
	t := p.currentTable()
	if t == nil {
		p.refuse(ctx, RefuseCall{Reason: wire.ReasonNotReady, RetryAfter: p.Settings.NotReadyRetryAfter})
		return
	}
	m, ok := t.Match(string(ctx.Host()), path, string(ctx.Method()))
	if !ok {
		p.counters.noRoute.Inc()
		p.cuts.WithSignal(p.Log).Info("refused", "request_id", p.requestID(ctx), "host", string(ctx.Host()), "path", path, "reason", "no_route", "status", fasthttp.StatusNotFound, "version", t.Version)
		closeIfBodyUnread(ctx)
		writeProxyAnswer(ctx, fasthttp.StatusNotFound, outcomeNotRun, refusalBody{
			Reason: "no_route",
			Remedy: "check the request's host and path, or add a route to the service's document",
		})
		return
	}
	if !p.admitsLate(ctx, m) {
		conn.endAfterPending()
		p.refuse(ctx, RefuseCall{Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter})
		progress := conn.currentProgress()
		progress.begin(p.requestID(ctx), m.Route.Name)
		progress.refusedBy(cut.ProxyDrain, wire.ReasonLeaving.String())
		return
	}
	tenant, ok := p.identify(ctx, conn, m)
	if !ok || !p.takeCredit(ctx, conn, m, tenant) {
		return
	}
	body, err := readBody(ctx, conn, p.limits().BodyBytes)
	switch {
	case errors.Is(err, errBodyTooLarge):
		p.returnCredit(tenant)
		p.rejectBody(ctx)
		return
	case errors.Is(err, errNoMemory):
		p.returnCredit(tenant)
		p.refuse(ctx, RefuseCall{Reason: wire.ReasonLimit, RetryAfter: fullRetryAfter})
		return
	}
	if err != nil {
		p.returnCredit(tenant)
		p.logRejected(m.tableRoute.logger(p.Log, m.Table.Version), p.requestID(ctx), "request_body", fasthttp.StatusBadRequest)
		conn.noteClose(closeBodyUnread)
		ctx.SetConnectionClose()
		writeProxyAnswer(ctx, fasthttp.StatusBadRequest, outcomeNotRun, refusalBody{Reason: "request_body", Remedy: "send the whole body, of at most " + strconv.Itoa(defaultBodyBytes) + " bytes"})
		return
	}
	p.newCall(ctx, conn, m, tenant, body).run()
}

// admitsLate reports whether a planned stop still admits a request, by its deadline.
func (p *Proxy) admitsLate(ctx *fasthttp.RequestCtx, m *Match) bool {
	plan := p.plan.Load()
	if plan == nil {
		return true
	}
	longest := p.routeDeadline(m)
	if d, ok := p.callerDeadline(ctx); ok {
		longest = min(longest, d)
	}
	if d := p.parentOf(ctx).Deadline; !d.IsZero() {
		longest = min(longest, d.Sub(p.Now()))
	}
	return plan.Admits(clock.NowWithSuspension(), longest)
}

// refuse answers a request that was not sent to any member.
func (p *Proxy) refuse(ctx *fasthttp.RequestCtx, r RefuseCall) {
	p.counters.notRun.Inc()
	p.cuts.WithSignal(p.Log).Info("refused", "request_id", p.requestID(ctx), "host", string(ctx.Host()), "path", string(ctx.Path()), "reason", r.Reason.String(), "may_have_run", false)
	closeIfBodyUnread(ctx)
	p.writeRefusal(ctx, r)
}

// closeIfBodyUnread closes the connection after the answer if a request body is still arriving, since its rest must not be read as a next request.
func closeIfBodyUnread(ctx *fasthttp.RequestCtx) {
	if ctx.Request.Header.ContentLength() != 0 && ctx.RequestBodyStream() != nil {
		ctx.SetConnectionClose()
		if conn, ok := ctx.Conn().(*callerConn); ok {
			conn.stopReading()
		}
	}
}

// newCall prepares the call of a request; its deadline is the earliest of the route's, the caller's and the parent's.
func (p *Proxy) newCall(ctx *fasthttp.RequestCtx, conn *callerConn, m *Match, tenant *tenants.Tenant, body *requestBody) *call {
	method := string(ctx.Method())
	id := p.lastCallID.Add(1)
	c := &call{
		proxy: p, id: id, ctx: ctx, conn: conn, match: m, tenant: tenant, body: body,
		policy: m.policy(method), start: p.Now(),
		results: make(chan int, maxTotalAttempts), doubts: make(chan int, maxTotalAttempts), disconnected: make(chan struct{}, 1),
	}
	c.parent = p.parentOf(ctx)
	c.deadline = c.start.Add(p.routeDeadline(m))
	if d, ok := p.callerDeadline(ctx); ok && c.start.Add(d).Before(c.deadline) {
		c.deadline = c.start.Add(d)
	}
	if d := c.parent.Deadline; !d.IsZero() && d.Before(c.deadline) {
		c.deadline = d
	}
	c.baseCtx, c.cancel = context.WithCancel(p.baseCtx)
	if o := m.Route.Objective.Std(); o > 0 {
		c.objective = c.start.Add(o)
	}
	c.head = wire.CallHead{
		Caller:  p.callerService(),
		TraceID: c.traceID(), Route: m.Route.Name, Method: method,
		Host: string(ctx.Host()), URI: string(ctx.RequestURI()), Fields: p.requestFields(&ctx.Request.Header, m.Table.Tenants != nil),
		BodyLength: body.length(), Priority: m.Route.Priority.Rank(), Idempotent: c.policy.Idempotent,
		Depth: c.parent.Depth, RetryLayer: c.mayRetryAfterRun(), Version: m.Table.Version,
	}
	c.progress = conn.currentProgress()
	c.progress.begin(c.head.TraceID, m.Route.Name)
	if tenant != nil {
		c.head.Tenant = tenant.Name
		if tenant.Priority != nil {
			c.head.Priority = *tenant.Priority
		}
	}
	c.head.Content = c.contentOf()
	return c
}

// parentOf returns the parent that the request names, the zero Parent if there is none. Its Depth is already that of the new call.
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

// routeDeadline returns the route's deadline, or the default one, as a duration from the call's start.
func (p *Proxy) routeDeadline(m *Match) time.Duration {
	if d := m.Route.Deadline.Std(); d > 0 {
		return d
	}
	return p.Settings.Deadline
}

// mayRetryAfterRun reports whether this call, or an earlier one in the chain, may be sent again after it may have run; it is passed on to the daemons later in the chain.
func (c *call) mayRetryAfterRun() bool {
	return c.parent.MayRetryAfterRun || (c.policy.Idempotent && c.policy.Attempts > 1)
}

// callerDeadline returns the time that the caller allows for the call, and false if none is stated or it is invalid or a day or more.
func (p *Proxy) callerDeadline(ctx *fasthttp.RequestCtx) (time.Duration, bool) {
	n, err := strconv.ParseInt(string(ctx.Request.Header.Peek(p.Headers.Deadline)), 10, 64)
	return time.Duration(n) * time.Millisecond, err == nil && n > 0 && n < maxDeadlineMS
}

// callerService returns the service on whose VM this proxy's callers run, empty if it is not passed on.
func (p *Proxy) callerService() string {
	if p.Headers.Caller == "" {
		return ""
	}
	return p.Self().Service
}

// traceID returns the caller's request ID, the trace ID of the parent call, or a new one.
func (c *call) traceID() string {
	if id := c.proxy.requestID(c.ctx); id != "" {
		return id
	}
	if c.parent.TraceID != "" {
		return c.parent.TraceID
	}
	return c.proxy.traceIDPrefix + strconv.FormatUint(c.id, 36)
}
