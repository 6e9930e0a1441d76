package dispatch_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

var deposits = document.Route{Name: "deposits", Prefix: "/deposits", Deposit: true, Retry: document.Retry{Attempts: 2}}

// watched is a guard that counts the claims granted and ended.
type watched struct {
	*deposit.Guard
	open atomic.Int64
}

func (w *watched) Begin(ctx context.Context, service, key string, fingerprint uint64) (deposit.Decision, error) {
	d, err := w.Guard.Begin(ctx, service, key, fingerprint)
	if _, ok := d.(deposit.Granted); ok {
		w.open.Add(1)
	}
	return d, err
}

func (w *watched) Finish(ctx context.Context, c deposit.Claim, r deposit.Record) error {
	defer w.open.Add(-1)
	return w.Guard.Finish(ctx, c, r)
}

func (w *watched) Release(ctx context.Context, c deposit.Claim) error {
	defer w.open.Add(-1)
	return w.Guard.Release(ctx, c)
}

func (w *watched) Abandon(ctx context.Context, c deposit.Claim) error {
	defer w.open.Add(-1)
	return w.Guard.Abandon(ctx, c)
}

// settle waits until the ends of payments that were answered are recorded.
func (w *watched) settle() {
	for w.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// guarded gives a proxy a guard on a store.
func guarded(store *standin.Keyspace, holder uint64) (func(*dispatch.Proxy), *watched) {
	w := &watched{Guard: &deposit.Guard{Store: store, Holder: holder, Log: logr.Discard(), WritesPerSecond: -1}}
	return func(p *dispatch.Proxy) { p.Deposits = w }, w
}

// till takes payments and counts them.
type till struct {
	taken   atomic.Int64
	answers []link.Outcome // in turn, then a receipt
	asked   atomic.Int64
}

func (x *till) serve(_ context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
	if n := int(x.asked.Add(1)); n <= len(x.answers) {
		return x.answers[n-1]
	}
	x.taken.Add(1)
	return reply(201, "receipt", wire.Field{Name: "X-Receipt", Value: "7"})
}

func TestPayments(t *testing.T) {
	notRun, unsure := refused(wire.ReasonQueueFull, false), refused(wire.ReasonLinkLost, true)
	tests := map[string]struct {
		answers  []link.Outcome
		bodies   []string // of requests with one key, one after another
		want     []int    // statuses
		outcomes []string
		taken    int64
	}{
		"repeat is replayed":        {nil, []string{"25 GBP", "25 GBP"}, []int{201, 201}, []string{"", ""}, 1},
		"refused, taken elsewhere":  {[]link.Outcome{notRun}, []string{"25 GBP", "25 GBP"}, []int{201, 201}, []string{"", ""}, 1},
		"not run, repeat runs":      {[]link.Outcome{notRun, notRun, notRun, notRun}, []string{"25 GBP", "25 GBP"}, []int{503, 201}, []string{"not-run", ""}, 1},
		"may have run, never again": {[]link.Outcome{unsure}, []string{"25 GBP", "25 GBP"}, []int{502, 502}, []string{"may-have-run", "may-have-run"}, 0},
		"key of another request":    {nil, []string{"25 GBP", "30 GBP"}, []int{201, 422}, []string{"", "not-run"}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			x := &till{answers: tc.answers}
			option, g := guarded(&standin.Keyspace{}, 1)
			p := start(t, deposits, x.serve, option)
			for i, body := range tc.bodies {
				got, err := p.do("POST", "/deposits", strings.NewReader(body), "Idempotency-Key", "k-1")
				c.Assert(err, qt.IsNil)
				c.Check(got.status, qt.Equals, tc.want[i], qt.Commentf("%d: %s", i, got.body))
				c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, tc.outcomes[i])
				if got.status == 201 {
					c.Check(got.body, qt.Equals, "receipt")
					c.Check(got.header.Get("x-receipt"), qt.Equals, "7")
				}
				g.settle()
			}
			c.Check(x.taken.Load(), qt.Equals, tc.taken)
			c.Check(g.Close(), qt.IsNil)
		})
	}
}

func TestPaymentWithTheStoreDownDoesNotRun(t *testing.T) {
	c := qt.New(t)
	store := &standin.Keyspace{}
	store.SetFaults(standin.Faults{Down: true})
	x := &till{}
	option, _ := guarded(store, 1)
	p := start(t, deposits, x.serve, option)
	got, err := p.do("POST", "/deposits", strings.NewReader("25 GBP"), "Idempotency-Key", "k-1")
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "not-run")
	c.Check(x.asked.Load(), qt.Equals, int64(0))
}

func TestPaymentThroughTwoProxiesAtOnceRunsOnce(t *testing.T) {
	c := qt.New(t)
	store, x := &standin.Keyspace{}, &till{}
	var wg sync.WaitGroup
	for holder := range uint64(2) {
		option, _ := guarded(store, holder+1)
		p := start(t, deposits, x.serve, option)
		for range 4 {
			wg.Go(func() {
				got, err := p.do("POST", "/deposits", strings.NewReader("25 GBP"), "Idempotency-Key", "k-1")
				c.Check(err, qt.IsNil)
				c.Check(got.status == 201 || got.status == 409, qt.IsTrue, qt.Commentf("%d %s", got.status, got.body))
			})
		}
	}
	wg.Wait()
	c.Check(x.taken.Load(), qt.Equals, int64(1))
}

func TestPaymentGoesOnWithoutItsCaller(t *testing.T) {
	c := qt.New(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	x := &till{}
	option, _ := guarded(&standin.Keyspace{}, 1)
	p := start(t, deposits, func(ctx context.Context, to link.Peer, head wire.CallHead, body io.Reader) link.Outcome {
		close(arrived)
		<-left
		if ctx.Err() != nil {
			return refused(wire.ReasonCancelled, true)
		}
		return x.serve(ctx, to, head, body)
	}, option)
	conn := p.raw(c, "POST /deposits HTTP/1.1\r\nHost: bookings.example\r\nIdempotency-Key: k-1\r\nContent-Length: 6\r\n\r\n25 GBP")
	wait(c, arrived, "the payment")
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond) // lets the proxy notice; the outcome must be the same
	close(left)
	var got answer
	for end := time.Now().Add(guard); got.status != 201 && time.Now().Before(end); {
		var err error
		got, err = p.do("POST", "/deposits", strings.NewReader("25 GBP"), "Idempotency-Key", "k-1")
		c.Assert(err, qt.IsNil)
	}
	c.Check(got.body, qt.Equals, "receipt")
	c.Check(x.taken.Load(), qt.Equals, int64(1))
}
