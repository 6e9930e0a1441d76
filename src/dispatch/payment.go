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
	keyField    = "Idempotency-Key"
	maxKeySize  = 256 // bytes
	endTimeout  = 5 * time.Second
	outcomeRan  = "ran"
	outcomeBusy = "in-progress"
)

// payment is a call with an idempotency key for which the store has granted a claim.
type payment struct {
	p *Proxy

	mu    sync.Mutex
	claim deposit.Claim
	ended bool
}

// confirm tells whether the claim still allows a send.
func (y *payment) confirm(ctx context.Context) error {
	y.mu.Lock()
	c := y.claim
	y.mu.Unlock()
	c, err := y.p.Deposits.Confirm(ctx, c)
	if err != nil {
		return err
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.claim = c
	return nil
}

// finish records the answer; a nil payment has nothing to record.
func (y *payment) finish(r deposit.Record) {
	y.end(func(ctx context.Context, c deposit.Claim) error { return y.p.Deposits.Finish(ctx, c, r) })
}

// release gives the claim back.
func (y *payment) release() {
	y.end(func(ctx context.Context, c deposit.Claim) error { return y.p.Deposits.Release(ctx, c) })
}

// abandon records that the payment may have run.
func (y *payment) abandon() {
	y.end(func(ctx context.Context, c deposit.Claim) error { return y.p.Deposits.Abandon(ctx, c) })
}

// end writes the claim's end in the background, once; the answer does not wait for the store.
func (y *payment) end(write func(context.Context, deposit.Claim) error) {
	if y == nil || !y.first() {
		return
	}
	task := func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := write(ctx, y.claim); err != nil {
			y.p.Log.Error(err, "end of a payment's claim not recorded")
		}
	}
	if y.p.pool.Go(task) != nil {
		task()
	}
}

func (y *payment) first() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	first := !y.ended
	y.ended = true
	return first
}

// record returns the outcome that repeats of a payment are answered with.
func record(a *attempt) deposit.Record {
	h := a.reply.Head
	return deposit.Record{Status: h.Status, Fields: h.Fields, Body: a.whole, Omitted: !a.short}
}

// fingerprint tells requests with the same key apart.
func (c *call) fingerprint() uint64 {
	h := xxh3.New()
	_, _ = h.WriteString(c.head.Method)
	_, _ = h.WriteString("\x00" + c.head.URI + "\x00")
	if c.body != nil {
		_, _ = io.Copy(h, c.body.open())
	}
	return h.Sum64()
}

// admitPayment claims the key of a payment; false means that the request has been answered.
func (c *call) admitPayment() bool {
	key := string(c.ctx.Request.Header.Peek(keyField))
	if !c.match.Route.Deposit || key == "" {
		return true
	}
	if len(key) > maxKeySize || !c.body.arrived() {
		c.ctx.SetConnectionClose()
		c.conn.leaveUnread()
		writeOwn(c.ctx, 413, outcomeNotRun, refusalBody{Reason: "payment_too_large", Remedy: "send a key of at most 256 bytes and a body of at most 64 KB"})
		return false
	}
	if c.p.Deposits == nil {
		c.p.refuse(c.ctx, RefuseCall{Reason: wire.ReasonNotReady, RetryAfter: time.Second})
		return false
	}
	ctx, cancel := context.WithDeadline(c.base, c.deadline)
	defer cancel()
	d, err := c.p.Deposits.Begin(ctx, c.match.Service, key, c.fingerprint())
	if err != nil {
		c.refusePayment(err)
		return false
	}
	return c.decided(d)
}

// refusePayment answers a payment that the store has granted no claim for.
func (c *call) refusePayment(err error) {
	c.p.counters.notRun.Inc()
	after := max(deposit.RetryAfter(err), time.Millisecond)
	c.log().Info("refused", "request_id", c.head.TraceID, "reason", "no_claim", "cause", err.Error())
	c.p.setRetryAfter(c.ctx, after)
	writeOwn(c.ctx, 503, outcomeNotRun, refusalBody{
		Reason: "no_claim", Remedy: "repeat the request with the same key after retry-after; see the metrics of the store", RetryAfterMS: after.Milliseconds(),
	})
}

// decided acts on what the store knows of a payment's key.
func (c *call) decided(d deposit.Decision) bool {
	switch d := d.(type) {
	case deposit.Granted:
		c.payment = &payment{p: c.p, claim: d.Claim}
		return true
	case deposit.Replay:
		c.replay(d.Record)
	case deposit.InProgress:
		c.p.setRetryAfter(c.ctx, d.RetryAfter)
		writeOwn(c.ctx, 409, outcomeBusy, refusalBody{Reason: "key_in_progress", Remedy: "repeat the request with the same key after retry-after", RetryAfterMS: d.RetryAfter.Milliseconds()})
	case deposit.Unknown:
		writeOwn(c.ctx, 502, outcomeMay, refusalBody{Reason: "earlier_request_may_have_run", Remedy: "look up whether the payment was taken before making a new one with another key"})
	case deposit.Mismatch:
		writeOwn(c.ctx, 422, outcomeNotRun, refusalBody{Reason: "key_used_for_another_request", Remedy: "use a new idempotency key for each payment"})
	}
	return false
}

// replay answers with the outcome of the payment that ran; one that was too large to keep is only named.
func (c *call) replay(r deposit.Record) {
	if r.Omitted {
		writeOwn(c.ctx, 409, outcomeRan, refusalBody{Reason: "answer_not_kept", Remedy: "the payment ran and its answer was too large to keep: look it up at the service"})
		return
	}
	c.ctx.SetStatusCode(int(r.Status))
	setFields(&c.ctx.Response.Header, r.Fields)
	c.ctx.Response.SetBodyRaw(r.Body)
}
