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

var depositsRoute = document.Route{Name: "deposits", Prefix: "/deposits", Deposit: true, Retry: document.Retry{Attempts: 2}}

// countingGuard counts the claims that have been granted and not ended.
type countingGuard struct {
	*deposit.Guard
	openClaims atomic.Int64
}

func (g *countingGuard) Begin(ctx context.Context, service, key string, fingerprint uint64) (deposit.Decision, error) {
	d, err := g.Guard.Begin(ctx, service, key, fingerprint)
	if _, ok := d.(deposit.Granted); ok {
		g.openClaims.Add(1)
	}
	return d, err
}

func (g *countingGuard) Finish(ctx context.Context, c deposit.Claim, r deposit.Record) error {
	defer g.openClaims.Add(-1)
	return g.Guard.Finish(ctx, c, r)
}

func (g *countingGuard) Release(ctx context.Context, c deposit.Claim) error {
	defer g.openClaims.Add(-1)
	return g.Guard.Release(ctx, c)
}

func (g *countingGuard) Abandon(ctx context.Context, c deposit.Claim) error {
	defer g.openClaims.Add(-1)
	return g.Guard.Abandon(ctx, c)
}

// waitForClaims waits until the ends of answered payments are recorded.
func (g *countingGuard) waitForClaims() {
	for g.openClaims.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// withGuard returns an option that sets a proxy's Deposits to a new guard on a store, and that guard.
func withGuard(store *standin.Keyspace, holder uint64) (func(*dispatch.Proxy), *countingGuard) {
	g := &countingGuard{Guard: &deposit.Guard{Store: store, Holder: holder, Log: logr.Discard(), WritesPerSecond: -1}}
	return func(p *dispatch.Proxy) { p.Deposits = g }, g
}

// paymentServer is a backend server that takes payments and counts them.
type paymentServer struct {
	payments atomic.Int64
	answers  []link.Outcome // of the first calls; later ones are answered with a receipt
	calls    atomic.Int64
}

func (s *paymentServer) serve(_ context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
	if n := int(s.calls.Add(1)); n <= len(s.answers) {
		return s.answers[n-1]
	}
	s.payments.Add(1)
	return newReply(201, "receipt", wire.Field{Name: "X-Receipt", Value: "7"})
}

// TestPayments checks the answers to repeated payments with one key, and how many payments run.
func TestPayments(t *testing.T) {
	notRun, mayHaveRun := newRefusal(wire.ReasonQueueFull, false), newRefusal(wire.ReasonLinkLost, true)
	tests := map[string]struct {
		answers  []link.Outcome
		bodies   []string // of consecutive requests with one key
		want     []int    // statuses
		outcomes []string
		payments int64
	}{
		"repeat is replayed":         {nil, []string{"25 GBP", "25 GBP"}, []int{201, 201}, []string{"", ""}, 1},
		"refused, run elsewhere":     {[]link.Outcome{notRun}, []string{"25 GBP", "25 GBP"}, []int{201, 201}, []string{"", ""}, 1},
		"not run, repeat runs":       {[]link.Outcome{notRun, notRun, notRun, notRun}, []string{"25 GBP", "25 GBP"}, []int{503, 201}, []string{"not-run", ""}, 1},
		"may have run, not repeated": {[]link.Outcome{mayHaveRun}, []string{"25 GBP", "25 GBP"}, []int{502, 502}, []string{"may-have-run", "may-have-run"}, 0},
		"key of another request":     {nil, []string{"25 GBP", "30 GBP"}, []int{201, 422}, []string{"", "not-run"}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &paymentServer{answers: tc.answers}
			option, g := withGuard(&standin.Keyspace{}, 1)
			p := startProxy(t, depositsRoute, server.serve, option)
			for i, body := range tc.bodies {
				got, err := p.do("POST", "/deposits", strings.NewReader(body), "Idempotency-Key", "k-1")
				c.Assert(err, qt.IsNil)
				c.Check(got.status, qt.Equals, tc.want[i], qt.Commentf("%d: %s", i, got.body))
				c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, tc.outcomes[i])
				if got.status == 201 {
					c.Check(got.body, qt.Equals, "receipt")
					c.Check(got.header.Get("x-receipt"), qt.Equals, "7")
				}
				g.waitForClaims()
			}
			c.Check(server.payments.Load(), qt.Equals, tc.payments)
			c.Check(g.Close(), qt.IsNil)
		})
	}
}

// TestPaymentStoreDown checks that a payment does not run while the store is down.
func TestPaymentStoreDown(t *testing.T) {
	c := qt.New(t)
	store := &standin.Keyspace{}
	store.SetFaults(standin.Faults{Down: true})
	server := &paymentServer{}
	option, _ := withGuard(store, 1)
	p := startProxy(t, depositsRoute, server.serve, option)
	got, err := p.do("POST", "/deposits", strings.NewReader("25 GBP"), "Idempotency-Key", "k-1")
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "not-run")
	c.Check(server.calls.Load(), qt.Equals, int64(0))
}

// TestPaymentConcurrentProxies checks that a payment repeated through two proxies at the same time runs once.
func TestPaymentConcurrentProxies(t *testing.T) {
	c := qt.New(t)
	store, server := &standin.Keyspace{}, &paymentServer{}
	var wg sync.WaitGroup
	for holder := range uint64(2) {
		option, _ := withGuard(store, holder+1)
		p := startProxy(t, depositsRoute, server.serve, option)
		for range 4 {
			wg.Go(func() {
				got, err := p.do("POST", "/deposits", strings.NewReader("25 GBP"), "Idempotency-Key", "k-1")
				c.Check(err, qt.IsNil)
				c.Check(got.status == 201 || got.status == 409, qt.IsTrue, qt.Commentf("%d %s", got.status, got.body))
			})
		}
	}
	wg.Wait()
	c.Check(server.payments.Load(), qt.Equals, int64(1))
}

// TestPaymentCallerDisconnect checks that a payment continues when its caller disconnects, and that a repeat gets its answer.
func TestPaymentCallerDisconnect(t *testing.T) {
	c := qt.New(t)
	arrived, disconnected := make(chan struct{}), make(chan struct{})
	server := &paymentServer{}
	option, _ := withGuard(&standin.Keyspace{}, 1)
	p := startProxy(t, depositsRoute, func(ctx context.Context, to link.Peer, head wire.CallHead, body io.Reader) link.Outcome {
		close(arrived)
		<-disconnected
		if ctx.Err() != nil {
			return newRefusal(wire.ReasonCancelled, true)
		}
		return server.serve(ctx, to, head, body)
	}, option)
	conn := p.sendRaw(c, "POST /deposits HTTP/1.1\r\nHost: bookings.example\r\nIdempotency-Key: k-1\r\nContent-Length: 6\r\n\r\n25 GBP")
	waitFor(c, arrived, "the payment")
	_ = conn.Close()
	time.Sleep(50 * time.Millisecond) // lets the proxy detect the disconnect; the result must be the same without
	close(disconnected)
	var got response
	for end := time.Now().Add(testTimeout); got.status != 201 && time.Now().Before(end); {
		var err error
		got, err = p.do("POST", "/deposits", strings.NewReader("25 GBP"), "Idempotency-Key", "k-1")
		c.Assert(err, qt.IsNil)
	}
	c.Check(got.body, qt.Equals, "receipt")
	c.Check(server.payments.Load(), qt.Equals, int64(1))
}
