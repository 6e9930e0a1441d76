package deposit_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/trace"
)

// mortal is a store whose caller is killed at one of its calls: it never hears the answer.
type mortal struct {
	*standin.Keyspace
	left   int  // calls that are answered
	lands  bool // the call after them still takes effect
	killed chan struct{}
}

func (m *mortal) Get(ctx context.Context, key string) (kv.Entry, error) {
	m.call(func() {})
	return m.Keyspace.Get(ctx, key)
}

func (m *mortal) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	m.call(func() { _, _ = m.Keyspace.Swap(ctx, key, expect, value) })
	return m.Keyspace.Swap(ctx, key, expect, value)
}

// call blocks for ever at the call at which the caller is killed.
func (m *mortal) call(do func()) {
	if m.left > 0 {
		m.left--
		return
	}
	if m.lands {
		do()
	}
	close(m.killed)
	select {}
}

// TestHolderKilledAtEachStep kills a holder at each store call of a payment and repeats the payment through another.
func TestHolderKilledAtEachStep(t *testing.T) {
	tests := map[string]struct {
		left   int
		lands  bool
		ran    int       // runs by the killed holder
		answer [3]string // to repeats at once, after the timeout, after the expiry
	}{
		"before the read":    {0, false, 0, [3]string{"granted", "replay", "granted"}},
		"before the claim":   {1, false, 0, [3]string{"granted", "replay", "granted"}},
		"after the claim":    {1, true, 0, [3]string{"in_progress", "unknown", "granted"}},
		"before the outcome": {2, false, 1, [3]string{"in_progress", "unknown", "granted"}},
		"after the outcome":  {2, true, 1, [3]string{"replay", "replay", "granted"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newScene(c, name)
			m := &mortal{Keyspace: &s.store.Keyspace, left: tc.left, lands: tc.lands, killed: make(chan struct{})}
			victim := &deposit.Guard{Store: m, Holder: 3, Now: s.clock.Now}
			runs := 0
			go func() {
				claim := s.begin(victim, "granted")
				runs++
				s.finish(victim, claim)
			}()
			<-m.killed
			c.Check(runs, qt.Equals, tc.ran)
			for i, want := range tc.answer {
				d, err := s.other.Begin(context.Background(), "bookings", "k1", 7)
				c.Assert(err, qt.IsNil)
				c.Check(trace.Kind(d), qt.Equals, want, qt.Commentf("repeat %d", i))
				if granted, ok := d.(deposit.Granted); ok {
					s.finish(s.other, granted.Claim)
				}
				s.clock.Add([]time.Duration{deposit.DefaultTimeout, deposit.DefaultExpiry, 0}[i])
			}
		})
	}
}
