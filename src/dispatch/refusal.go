package dispatch

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/wire"
)

// refusalBody is the JSON body of an answer from the proxy itself.
type refusalBody struct {
	Reason       string `json:"reason"`
	Outcome      string `json:"outcome"` // of the request, as in the header field
	Remedy       string `json:"remedy"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// writeRefusal answers a request that no backend server has answered.
func (p *Proxy) writeRefusal(ctx *fasthttp.RequestCtx, r RefuseCall) {
	if r.MayHaveRun {
		status := fasthttp.StatusBadGateway
		if r.Reason == wire.ReasonTimeout || r.Reason == wire.ReasonDeadline {
			status = fasthttp.StatusGatewayTimeout
		}
		writeProxyAnswer(ctx, status, outcomeMayHaveRun, refusalBody{Reason: r.Reason.String(), Remedy: remedy(r.Reason)})
		return
	}
	after := max(r.RetryAfter, time.Millisecond)
	p.setRetryAfter(ctx, after)
	writeProxyAnswer(ctx, fasthttp.StatusServiceUnavailable, outcomeNotRun,
		refusalBody{Reason: r.Reason.String(), Remedy: remedy(r.Reason), RetryAfterMS: after.Milliseconds()})
}

// setRetryAfter sets Retry-After in whole seconds, rounded up, or with milliseconds as decimals if Headers.Fractions is set.
func (p *Proxy) setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	if p.Headers.Fractions {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
		return
	}
	s := max(1, int64((after+time.Second-1)/time.Second))
	ctx.Response.Header.Set("Retry-After", strconv.FormatInt(s, 10))
}

// writeProxyAnswer writes an answer from the proxy itself.
func writeProxyAnswer(ctx *fasthttp.RequestCtx, status int, outcome string, b refusalBody) {
	b.Outcome = outcome
	if conn, ok := ctx.Conn().(*callerConn); ok {
		conn.currentProgress().answerFromProxy(status, endOfOwnAnswer(status, outcome))
	}
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(outcomeField, outcome)
	ctx.SetContentType("application/json")
	body, _ := json.Marshal(b)
	ctx.SetBody(append(body, '\n'))
}

// endOfOwnAnswer returns the end of a request that the proxy answers by itself.
func endOfOwnAnswer(status int, outcome string) cut.End {
	switch {
	case status == fasthttp.StatusGatewayTimeout:
		return cut.EndTimeout
	case outcome == outcomeMayHaveRun:
		return cut.EndMayHaveRun
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusRequestTimeout:
		return cut.EndNotRun
	}
	return cut.EndRejected
}
