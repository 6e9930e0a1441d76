package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	idempotencyKeyField = "Idempotency-Key"
	maxKeySize          = 256             // bytes
	claimEndTimeout     = 5 * time.Second // for recording a claim's end
	outcomeRan          = "ran"
	outcomeInProgress   = "in-progress"
)

// payment is a payment whose claim the store has granted to a call.
type payment struct {
	proxy *Proxy

	mu    sync.Mutex
	claim deposit.Claim
	ended bool
}

// confirm returns an error if the claim no longer allows the payment to be sent.
func (pay *payment) confirm(ctx context.Context) error {
	pay.mu.Lock()
	c := pay.claim
	pay.mu.Unlock()
	c, err := pay.proxy.Deposits.Confirm(ctx, c)
	if err != nil {
		return err
	}
	pay.mu.Lock()
	defer pay.mu.Unlock()
	pay.claim = c
	return nil
}

// finish records the answer for repeats of the payment; like release and abandon, it does nothing for a nil payment.
func (pay *payment) finish(r deposit.Record) {
	pay.endClaim(func(ctx context.Context, c deposit.Claim) error { return pay.proxy.Deposits.Finish(ctx, c, r) })
}

// release gives the claim back; the payment has not run.
func (pay *payment) release() {
	pay.endClaim(func(ctx context.Context, c deposit.Claim) error { return pay.proxy.Deposits.Release(ctx, c) })
}

// abandon records that the payment may have run.
func (pay *payment) abandon() {
	pay.endClaim(func(ctx context.Context, c deposit.Claim) error { return pay.proxy.Deposits.Abandon(ctx, c) })
}

// endClaim records the claim's end, once. It does so in the background, so that the answer does not wait for the store, unless no worker is free.
func (pay *payment) endClaim(write func(context.Context, deposit.Claim) error) {
	if pay == nil || !pay.markEnded() {
		return
	}
	task := func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimEndTimeout)
		defer cancel()
		if err := write(ctx, pay.claim); err != nil {
			pay.proxy.Log.Error(err, "end of a payment's claim not recorded")
		}
	}
	if pay.proxy.pool.Go(task) != nil {
		task()
	}
}

// markEnded marks the payment ended and reports whether this is the first time.
func (pay *payment) markEnded() bool {
	pay.mu.Lock()
	defer pay.mu.Unlock()
	first := !pay.ended
	pay.ended = true
	return first
}

// newRecord returns the outcome with which repeats of a payment are answered.
func newRecord(a *attempt) deposit.Record {
	h := a.reply.Head
	return deposit.Record{Status: h.Status, Fields: h.Fields, Body: a.body, Omitted: !a.buffered}
}

// fingerprint returns a hash of method, URI and body, by which requests with the same key are told apart.
func (c *call) fingerprint() uint64 {
	h := xxh3.New()
	_, _ = h.WriteString(c.head.Method)
	_, _ = h.WriteString("\x00" + c.head.URI + "\x00")
	if c.body != nil {
		_, _ = io.Copy(h, c.body.newReader())
	}
	return h.Sum64()
}

// admitPayment claims the payment's key, if the request has one on a deposit route, and reports whether the call is to be sent, which is also the case if it needs no claim; otherwise the request has been answered.
func (c *call) admitPayment() bool {
	key := string(c.ctx.Request.Header.Peek(idempotencyKeyField))
	if !c.match.Route.Deposit || key == "" {
		return true
	}
	if len(key) > maxKeySize || !c.body.isComplete() {
		c.ctx.SetConnectionClose()
		c.conn.stopReading()
		c.proxy.logRejected(c.log(), c.head.TraceID, "payment_too_large", 413)
		writeProxyAnswer(c.ctx, 413, outcomeNotRun, refusalBody{Reason: "payment_too_large", Remedy: "send a key of at most 256 bytes and a body of at most 64 KB"})
		return false
	}
	if c.proxy.Deposits == nil {
		c.proxy.refuse(c.ctx, RefuseCall{Reason: wire.ReasonNotReady, RetryAfter: time.Second})
		return false
	}
	ctx, cancel := context.WithDeadline(c.baseCtx, c.deadline)
	defer cancel()
	d, err := c.proxy.Deposits.Begin(ctx, c.match.Service, key, c.fingerprint())
	if err != nil {
		c.refusePayment(err)
		return false
	}
	return c.applyDecision(d)
}

// refusePayment answers a request for a payment whose key could not be claimed because of an error.
func (c *call) refusePayment(err error) {
	c.proxy.counters.notRun.Inc()
	after := max(deposit.RetryAfter(err), time.Millisecond)
	c.proxy.cuts.WithSignal(c.log()).Info("refused", "request_id", c.head.TraceID, "reason", "no_claim", "cause", err.Error())
	c.proxy.setRetryAfter(c.ctx, after)
	writeProxyAnswer(c.ctx, 503, outcomeNotRun, refusalBody{
		Reason: "no_claim", Remedy: "repeat the request with the same key after retry-after; see the metrics of the store", RetryAfterMS: after.Milliseconds(),
	})
}

// applyDecision acts on the decision about a payment's key and reports whether the payment is to be sent.
func (c *call) applyDecision(d deposit.Decision) bool {
	switch d := d.(type) {
	case deposit.Granted:
		c.payment = &payment{proxy: c.proxy, claim: d.Claim}
		return true
	case deposit.Replay:
		c.answerFromRecord(d.Record)
	case deposit.InProgress:
		c.proxy.setRetryAfter(c.ctx, d.RetryAfter)
		c.proxy.logRejected(c.log(), c.head.TraceID, "key_in_progress", 409)
		writeProxyAnswer(c.ctx, 409, outcomeInProgress, refusalBody{Reason: "key_in_progress", Remedy: "repeat the request with the same key after retry-after", RetryAfterMS: d.RetryAfter.Milliseconds()})
	case deposit.Unknown:
		writeProxyAnswer(c.ctx, 502, outcomeMayHaveRun, refusalBody{Reason: "earlier_request_may_have_run", Remedy: "look up whether the payment was taken before making a new one with another key"})
	case deposit.Mismatch:
		c.proxy.logRejected(c.log(), c.head.TraceID, "key_used_for_another_request", 422)
		writeProxyAnswer(c.ctx, 422, outcomeNotRun, refusalBody{Reason: "key_used_for_another_request", Remedy: "use a new idempotency key for each payment"})
	}
	return false
}

// answerFromRecord repeats the answer of a payment that has run; for an answer too large to keep it only states that the payment ran.
func (c *call) answerFromRecord(r deposit.Record) {
	if r.Omitted {
		c.proxy.logRejected(c.log(), c.head.TraceID, "answer_not_kept", 409)
		writeProxyAnswer(c.ctx, 409, outcomeRan, refusalBody{Reason: "answer_not_kept", Remedy: "the payment ran and its answer was too large to keep: look it up at the service"})
		return
	}
	c.ctx.SetStatusCode(int(r.Status))
	setFields(&c.ctx.Response.Header, r.Fields)
	c.ctx.Response.SetBodyRaw(r.Body)
	c.progress.answerFromServer(int(r.Status), 0, false)
	c.proxy.cuts.WithSignal(c.log()).Info("answered", "request_id", c.head.TraceID, "status", r.Status, "replayed", true)
}
