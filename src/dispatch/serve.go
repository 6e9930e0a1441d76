package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/wire"
)

// serve handles one request of a caller.
func (p *Proxy) serve(ctx *fasthttp.RequestCtx) {
	conn, _ := ctx.Conn().(*callerConn)
	if conn != nil {
		conn.setBusy(true)
	}
	p.counters.calls.Inc()
	p.route(ctx, conn)
	if p.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

func (p *Proxy) route(ctx *fasthttp.RequestCtx, conn *callerConn) {
	t := p.table()
	if t == nil {
		p.refuse(ctx, RefuseCall{Reason: wire.ReasonNotReady, RetryAfter: time.Second})
		return
	}
	m, ok := t.Match(string(ctx.Host()), string(ctx.Path()), string(ctx.Method()))
	if !ok {
		p.counters.noRoute.Inc()
		p.Log.Info("refused", "host", string(ctx.Host()), "path", string(ctx.Path()), "reason", "no_route", "version", t.Version)
		closeUnread(ctx)
		writeOwn(ctx, fasthttp.StatusNotFound, outcomeNotRun, refusalBody{
			Reason: "no_route",
			Remedy: "check the request's host and path, or add a route to the service's document",
		})
		return
	}
	body, err := readBody(ctx, conn)
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
	p.Log.Info("refused", "host", string(ctx.Host()), "path", string(ctx.Path()), "reason", r.Reason.String(), "may_have_run", false)
	closeUnread(ctx)
	writeRefusal(ctx, r)
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
		results: make(chan int, maxAttempts), gone: make(chan struct{}, 1),
	}
	c.parent = p.parentOf(ctx)
	c.deadline = c.start.Add(c.timeLimit())
	if d := c.parent.Deadline; !d.IsZero() && d.Before(c.deadline) {
		c.deadline = d
	}
	c.base, c.cancel = context.WithCancel(p.base)
	c.head = wire.CallHead{
		TraceID: c.traceID(), Route: m.Route.Name, Method: method,
		Host: string(ctx.Host()), URI: string(ctx.RequestURI()), Fields: requestFields(&ctx.Request.Header),
		BodyLength: body.length(), Priority: m.Route.Priority.Rank(), Idempotent: c.policy.Idempotent,
		Depth: c.parent.Depth, RetryLayer: c.retriesBelow(), Version: m.Table.Version,
	}
	return c
}

// parentOf looks up the call that the caller is running, if it names one.
func (p *Proxy) parentOf(ctx *fasthttp.RequestCtx) Parent {
	token := string(ctx.Request.Header.Peek(parentField))
	if token == "" || p.Parent == nil {
		return Parent{}
	}
	parent, ok := p.Parent(token)
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
	return c.p.Core.Deadline
}

// retriesBelow tells the daemons further down the chain that one above them retries.
func (c *call) retriesBelow() bool {
	return c.parent.RetryLayer || (c.policy.Idempotent && c.policy.Attempts > 1)
}

func (c *call) traceID() string {
	if c.parent.TraceID != "" {
		return c.parent.TraceID
	}
	return c.p.tracePrefix + strconv.FormatUint(c.id, 36)
}
