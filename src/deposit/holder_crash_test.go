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

// crashingStore simulates a holder that is killed during one of its store calls: the call does not return.
type crashingStore struct {
	*standin.Keyspace
	callsBeforeCrash int  // calls that are answered
	appliesLastCall  bool // the call during which the holder is killed takes effect
	crashed          chan struct{}
}

func (s *crashingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.call(func() {})
	return s.Keyspace.Get(ctx, key)
}

func (s *crashingStore) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	s.call(func() { _, _ = s.Keyspace.Swap(ctx, key, expect, value) })
	return s.Keyspace.Swap(ctx, key, expect, value)
}

// call blocks forever in the call during which the holder is killed; apply carries that call out.
func (s *crashingStore) call(apply func()) {
	if s.callsBeforeCrash > 0 {
		s.callsBeforeCrash--
		return
	}
	if s.appliesLastCall {
		apply()
	}
	close(s.crashed)
	select {}
}

// TestHolderCrash kills a holder at each store call of a payment and repeats the payment through another holder.
func TestHolderCrash(t *testing.T) {
	tests := map[string]struct {
		callsBeforeCrash int
		appliesLastCall  bool
		wantRuns         int       // runs by the killed holder
		wantRepeats      [3]string // decisions on three repeats: at once, after the timeout, after the expiry
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
			s := newScenario(c, name)
			guardStore := &crashingStore{Keyspace: &s.store.Keyspace, callsBeforeCrash: tc.callsBeforeCrash, appliesLastCall: tc.appliesLastCall, crashed: make(chan struct{})}
			crashingGuard := &deposit.Guard{Store: guardStore, Holder: 3, Now: s.clock.Now}
			runs := 0
			go func() {
				claim := s.begin(crashingGuard, "granted")
				runs++
				s.finish(crashingGuard, claim)
			}()
			<-guardStore.crashed
			c.Check(runs, qt.Equals, tc.wantRuns)
			for i, want := range tc.wantRepeats {
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
