package deposit_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestGuardAtMostOnce repeats a request through a second holder while it is in progress and after it has ended.
func TestGuardAtMostOnce(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &kv.Counted{Store: &standin.Keyspace{}}
	first := &deposit.Guard{Store: store, Holder: 1}
	second := &deposit.Guard{Store: store, Holder: 2}
	d, err := first.Begin(ctx, "bookings", "k1", 7)
	c.Assert(err, qt.IsNil)
	granted, ok := d.(deposit.Granted)
	c.Assert(ok, qt.IsTrue)
	d, err = second.Begin(ctx, "bookings", "k1", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Satisfies, func(d deposit.Decision) bool { _, ok := d.(deposit.InProgress); return ok })
	_, err = first.Confirm(ctx, granted.Claim)
	c.Assert(err, qt.IsNil)
	record := deposit.Record{Status: 201, Body: []byte("paid")}
	c.Assert(first.Finish(ctx, granted.Claim, record), qt.IsNil)
	c.Assert(store.Writes(), qt.Equals, uint64(2))
	d, err = second.Begin(ctx, "bookings", "k1", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.DeepEquals, deposit.Decision(deposit.Replay{Record: record}))
	d, err = second.Begin(ctx, "bookings", "k1", 8)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Equals, deposit.Decision(deposit.Mismatch{}))
	c.Assert(store.Writes(), qt.Equals, uint64(2))
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(second.Close(), qt.IsNil)
}

// TestGuardStoreUnavailable checks that a request is refused as not run, with a time to repeat it, while the store is down.
func TestGuardStoreUnavailable(t *testing.T) {
	c := qt.New(t)
	k := &standin.Keyspace{}
	k.SetFaults(standin.Faults{Down: true})
	g := &deposit.Guard{Store: k, Holder: 1}
	_, err := g.Begin(context.Background(), "bookings", "k1", 7)
	c.Assert(err, qt.ErrorIs, problem.NotRun)
	c.Assert(deposit.RetryAfter(err) > time.Second, qt.IsTrue)
	c.Assert(g.Close(), qt.IsNil)
}

// TestGuardCorruptSlot checks that requests are refused while their slot cannot be decoded, since it may hold their claims.
func TestGuardCorruptSlot(t *testing.T) {
	encoded, err := (&wire.ClaimSlot{}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		value   []byte
		refused bool
	}{
		"valid":     {encoded, false},
		"empty":     {nil, true},
		"truncated": {encoded[:len(encoded)-1], true},
		"trailing":  {append(encoded, 0), true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			k := &standin.Keyspace{}
			_, err := k.Swap(ctx, "deposit/af3d", 0, tc.value) // the slot key of service bookings and key k1
			c.Assert(err, qt.IsNil)
			g := &deposit.Guard{Store: k, Holder: 1}
			_, err = g.Begin(ctx, "bookings", "k1", 7)
			c.Check(errors.Is(err, problem.NotRun), qt.Equals, tc.refused)
			c.Check(g.Close(), qt.IsNil)
		})
	}
}
