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

// remote returns a store behind its HTTP face that runs until the test ends.
func remote(c *qt.C, k *standin.Keyspace) *kv.Remote {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s := &standin.StoreServer{Listener: ln, Keyspace: k, Log: logr.Discard()}
	go func() { done <- s.Run(ctx) }()
	r := &kv.Remote{Addr: ln.Addr().(*net.TCPAddr).AddrPort(), Timeout: 20 * time.Second}
	c.Cleanup(func() {
		c.Check(r.Close(), qt.IsNil)
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return r
}

// pay serves one payment and tells whether it ran.
func pay(ctx context.Context, g *deposit.Guard, key string) bool {
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

// TestDuplicatesAtTheSameMoment sends each payment through three holders at once.
func TestDuplicatesAtTheSameMoment(t *testing.T) {
	const holders, payments = 3, 60
	tests := map[string]struct {
		faults standin.Faults
		least  int // payments that have to run
	}{
		"no fault":     {standin.Faults{}, payments},
		"crossed":      {standin.Faults{Reorder: true, Seed: 3}, payments},
		"lost answers": {standin.Faults{LoseAnswers: 0.3, Seed: 1}, 1},
		"stale reads":  {standin.Faults{StaleReads: 0.3, Seed: 2}, 1},
		"all":          {standin.Faults{LoseAnswers: 0.2, StaleReads: 0.2, Reorder: true, Slow: time.Millisecond, Seed: 4}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			k := &standin.Keyspace{}
			k.SetFaults(tc.faults)
			var guards []*deposit.Guard
			for i := range holders {
				guards = append(guards, &deposit.Guard{Store: remote(c, k), Holder: uint64(i + 1), WritesPerSecond: -1})
			}
			var runs [payments]atomic.Int32
			var wg sync.WaitGroup
			for n := range holders * payments {
				wg.Go(func() {
					if pay(context.Background(), guards[n%holders], fmt.Sprint(n/holders)) {
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
			c.Check(ran >= tc.least, qt.IsTrue, qt.Commentf("%d payments ran", ran))
			t.Logf("%d of %d payments ran, store calls %+v", ran, payments, k.Calls())
		})
	}
}
