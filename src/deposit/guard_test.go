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

func TestGuardRunsAKeyOnce(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &kv.Counted{Store: &standin.Keyspace{}}
	a := &deposit.Guard{Store: store, Holder: 1}
	b := &deposit.Guard{Store: store, Holder: 2}
	d, err := a.Begin(ctx, "bookings", "k1", 7)
	c.Assert(err, qt.IsNil)
	granted, ok := d.(deposit.Granted)
	c.Assert(ok, qt.IsTrue)
	d, err = b.Begin(ctx, "bookings", "k1", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Satisfies, func(d deposit.Decision) bool { _, ok := d.(deposit.InProgress); return ok })
	_, err = a.Confirm(ctx, granted.Claim)
	c.Assert(err, qt.IsNil)
	record := deposit.Record{Status: 201, Body: []byte("paid")}
	c.Assert(a.Finish(ctx, granted.Claim, record), qt.IsNil)
	c.Assert(store.Writes(), qt.Equals, uint64(2))
	d, err = b.Begin(ctx, "bookings", "k1", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.DeepEquals, deposit.Decision(deposit.Replay{Record: record}))
	d, err = b.Begin(ctx, "bookings", "k1", 8)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Equals, deposit.Decision(deposit.Mismatch{}))
	c.Assert(store.Writes(), qt.Equals, uint64(2))
	c.Assert(a.Close(), qt.IsNil)
	c.Assert(b.Close(), qt.IsNil)
}

func TestGuardRefusesWhenTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	k := &standin.Keyspace{}
	k.SetFaults(standin.Faults{Down: true})
	g := &deposit.Guard{Store: k, Holder: 1}
	_, err := g.Begin(context.Background(), "bookings", "k1", 7)
	c.Assert(err, qt.ErrorIs, problem.NotRun)
	c.Assert(deposit.RetryAfter(err) > time.Second, qt.IsTrue)
	c.Assert(g.Close(), qt.IsNil)
}

func TestGuardRefusesUnreadableClaims(t *testing.T) {
	whole, err := (&wire.ClaimSlot{}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		value   []byte
		refused bool
	}{
		"whole":    {whole, false},
		"empty":    {nil, true},
		"cut":      {whole[:len(whole)-1], true},
		"trailing": {append(whole, 0), true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			k := &standin.Keyspace{}
			_, err := k.Swap(ctx, "deposit/af3d", 0, tc.value) // the slot of bookings and k1
			c.Assert(err, qt.IsNil)
			g := &deposit.Guard{Store: k, Holder: 1}
			_, err = g.Begin(ctx, "bookings", "k1", 7)
			c.Check(errors.Is(err, problem.NotRun), qt.Equals, tc.refused)
			c.Check(g.Close(), qt.IsNil)
		})
	}
}
