package deposit_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/standin"
)

// startStore serves the keyspace over HTTP until the test ends and returns a client for it.
func startStore(c *qt.C, keyspace *standin.Keyspace) *kv.Remote {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := &standin.StoreServer{Listener: ln, Keyspace: keyspace, Log: logr.Discard()}
	go func() { done <- server.Run(ctx) }()
	client := &kv.Remote{Addr: ln.Addr().(*net.TCPAddr).AddrPort(), Timeout: 20 * time.Second}
	c.Cleanup(func() {
		c.Check(client.Close(), qt.IsNil)
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return client
}

// servePayment serves one payment and reports whether it ran.
func servePayment(ctx context.Context, g *deposit.Guard, key string) bool {
	d, err := g.Begin(ctx, "bookings", key, 7)
	granted, ok := d.(deposit.Granted)
	if err != nil || !ok {
		return false
	}
	if _, err := g.Confirm(ctx, granted.Claim); err != nil {
		return false
	}
	_ = g.Finish(ctx, granted.Claim, deposit.Record{Status: 201})
	return true
}

// TestConcurrentDuplicates sends each payment through three holders concurrently and checks that it runs at most once, also with store faults.
func TestConcurrentDuplicates(t *testing.T) {
	const holders, payments = 3, 60
	tests := map[string]struct {
		faults  standin.Faults
		minRuns int // payments that must run
	}{
		"no fault":     {standin.Faults{}, payments},
		"reordered":    {standin.Faults{Reorder: true, Seed: 3}, payments},
		"lost answers": {standin.Faults{LoseAnswers: 0.3, Seed: 1}, 1},
		"stale reads":  {standin.Faults{StaleReads: 0.3, Seed: 2}, 1},
		"all":          {standin.Faults{LoseAnswers: 0.2, StaleReads: 0.2, Reorder: true, Slow: time.Millisecond, Seed: 4}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			keyspace := &standin.Keyspace{}
			keyspace.SetFaults(tc.faults)
			var guards []*deposit.Guard
			for i := range holders {
				guards = append(guards, &deposit.Guard{Store: startStore(c, keyspace), Holder: uint64(i + 1), WritesPerSecond: -1})
			}
			var runs [payments]atomic.Int32
			var wg sync.WaitGroup
			for n := range holders * payments {
				wg.Go(func() {
					if servePayment(context.Background(), guards[n%holders], fmt.Sprint(n/holders)) {
						runs[n/holders].Add(1)
					}
				})
			}
			wg.Wait()
			ran := 0
			for i := range runs {
				c.Check(runs[i].Load() <= 1, qt.IsTrue, qt.Commentf("payment %d ran %d times", i, runs[i].Load()))
				ran += int(runs[i].Load())
			}
			for _, g := range guards {
				c.Check(g.Close(), qt.IsNil)
			}
			c.Check(ran >= tc.minRuns, qt.IsTrue, qt.Commentf("%d payments ran", ran))
			t.Logf("%d of %d payments ran, store calls %+v", ran, payments, keyspace.Calls())
		})
	}
}
