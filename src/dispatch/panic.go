package dispatch

import (
	"fmt"
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// A panic in the handler of a request or in an attempt ends that request: the process goes on, since all
// others would end with it, without an answer.

// recoverRequest answers a request whose handler has panicked and closes its connection.
func (p *Proxy) recoverRequest(ctx *fasthttp.RequestCtx, conn *callerConn) {
	r := recover()
	if r == nil {
		return
	}
	p.logPanic(r, p.requestID(ctx))
	ctx.Response.Reset()
	ctx.SetConnectionClose()
	conn.noteClose(closePanic)
	conn.stopReading()
	writeProxyAnswer(ctx, fasthttp.StatusBadGateway, outcomeMayHaveRun, refusalBody{Reason: "internal_error", Remedy: "see the log of the daemon; look up whether the request ran before sending it again"})
}

// forgetAfterPanic removes a call that panics from the core, where it would count as in flight for good.
func (c *call) forgetAfterPanic() {
	if r := recover(); r != nil {
		c.proxy.step(CallerGone{Call: c.id})
		panic(r)
	}
}

// recoverPanic fails an attempt that has panicked, so that its call does not wait for it.
func (a *attempt) recoverPanic() {
	if r := recover(); r != nil {
		a.call.proxy.logPanic(r, a.call.head.TraceID)
		a.deliver(link.Refused{Refusal: wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true}})
	}
}

func (p *Proxy) logPanic(r any, id string) {
	p.counters.panics.Inc()
	p.Log.Error(fmt.Errorf("panic: %v", r), "request ended by a panic", "request_id", id, "stack", string(debug.Stack()))
}
