package dispatch

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/tenants"
)

const (
	reasonKeysOutdated = "keys_outdated"
	reasonQuota        = "quota"
	// creditWaitShare is the part of the time that a caller wants its answer within for which a request
	// waits for credit.
	creditWaitShare = 8
	// discardTimeout bounds the reading of a short body that is not used. A caller sends such a body
	// together with its header, so that a longer wait would only delay the answer.
	discardTimeout = 20 * time.Millisecond
)

// identify returns the tenant whose key a request carries, nil where the configuration holds no
// tenants or the route is public. It returns false if it has answered the request instead: with 401
// for a key that is not accepted, and with 503 while KeysOutdated reports true.
func (p *Proxy) identify(ctx *fasthttp.RequestCtx, conn *callerConn, m *Match) (*tenants.Tenant, bool) {
	d := m.Table.Tenants
	if d == nil || m.Route.Public {
		return nil, true
	}
	if p.KeysOutdated != nil && p.KeysOutdated() {
		after := p.Settings.NotReadyRetryAfter
		p.setRetryAfter(ctx, after)
		p.turnAway(ctx, conn, m, nil, fasthttp.StatusServiceUnavailable, refusalBody{
			Reason: reasonKeysOutdated, Remedy: "repeat the request after retry-after; the operator should check the connection of this agent to the store and to other agents", RetryAfterMS: after.Milliseconds(),
		})
		return nil, false
	}
	t, verdict := d.Lookup(ctx.Request.Header.PeekAll(fasthttp.HeaderAuthorization))
	if verdict == tenants.VerdictAccepted {
		return t, true
	}
	p.counters.unauthorized[verdict].Inc()
	ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	p.turnAway(ctx, conn, m, nil, fasthttp.StatusUnauthorized, refusalBody{
		Reason: verdict.String(), Remedy: "send one header field Authorization: Bearer KEY with a key that is in force",
	})
	return nil, false
}

// takeCredit takes a request's credit from its tenant's quota. It returns false if there is none and
// the request has been answered with 429. A request without a tenant needs no credit.
func (p *Proxy) takeCredit(ctx *fasthttp.RequestCtx, conn *callerConn, m *Match, t *tenants.Tenant) bool {
	if p.Quota == nil || t == nil {
		return true
	}
	after, ok := p.Quota.Take(p.baseCtx, p.Now(), t.Name, p.maxCreditWait(m))
	if ok {
		return true
	}
	after = max(after, time.Millisecond)
	p.setRetryAfter(ctx, after)
	p.turnAway(ctx, conn, m, t, fasthttp.StatusTooManyRequests, refusalBody{
		Reason: reasonQuota, Remedy: "repeat the request after retry-after, or ask the operator for a higher limit", RetryAfterMS: after.Milliseconds(),
	})
	return false
}

// returnCredit returns a request's credit, since no backend server has run it.
func (p *Proxy) returnCredit(t *tenants.Tenant) {
	if p.Quota != nil && t != nil {
		p.Quota.GiveBack(p.Now(), t.Name)
	}
}

// maxCreditWait returns how long a request of a route may wait for credit.
func (p *Proxy) maxCreditWait(m *Match) time.Duration {
	if o := m.Route.Objective.Std(); o > 0 {
		return o / creditWaitShare
	}
	if d := m.Route.Deadline.Std(); d > 0 {
		return d / creditWaitShare
	}
	return p.Settings.Deadline / creditWaitShare
}

// turnAway answers a request that its key or its tenant's quota does not admit; it has not run.
func (p *Proxy) turnAway(ctx *fasthttp.RequestCtx, conn *callerConn, m *Match, t *tenants.Tenant, status int, b refusalBody) {
	p.counters.notRun.Inc()
	log := m.tableRoute.logger(p.Log, m.Table.Version)
	if t != nil {
		log = log.WithValues("tenant", t.Name)
	}
	p.cuts.WithSignal(log).Info("refused", "request_id", p.requestID(ctx), "reason", b.Reason, "status", status, "may_have_run", false, "retry_after_ms", b.RetryAfterMS)
	discardBody(ctx, conn)
	writeProxyAnswer(ctx, status, outcomeNotRun, b)
}

// discardBody reads a short body of a request that is not run, so that its connection can be used on.
// It closes the connection after the answer if the body is longer or has no stated length, or has not
// arrived within discardTimeout.
func discardBody(ctx *fasthttp.RequestCtx, conn *callerConn) {
	n := int64(ctx.Request.Header.ContentLength())
	if conn != nil && n > 0 && n <= prefetchSize && ctx.RequestBodyStream() != nil {
		timer := time.AfterFunc(discardTimeout, conn.stopReading)
		got, err := io.Copy(io.Discard, ctx.RequestBodyStream())
		if timer.Stop() && err == nil && got == n {
			return
		}
	}
	closeIfBodyUnread(ctx)
}

// contentOf returns the hash by which quarantine knows a request. Where the configuration holds
// tenants, the tenant's name takes the place of the key, since the hash leaves the process.
func (c *call) contentOf() uint64 {
	r := quarantine.Request{
		Method: c.head.Method, Host: c.head.Host, Target: c.head.URI, Authorization: c.head.Tenant,
		BodyStart: c.body.start(), BodyLength: c.head.BodyLength,
	}
	if c.match.Table.Tenants == nil {
		r.Authorization = string(c.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	}
	return r.Content()
}
