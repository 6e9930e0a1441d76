package deposit_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/standin"
)

// A payment that ran must not run again because the store came back from a copy that lacks its
// claim: its holder still knows it.
func TestGuardStoreFromOlderCopy(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &standin.Keyspace{}
	first := &deposit.Guard{Store: store, Holder: 1}
	second := &deposit.Guard{Store: store, Holder: 2}
	older := store.Copy()
	d, err := first.Begin(ctx, "bookings", "k1", 7)
	c.Assert(err, qt.IsNil)
	granted, ok := d.(deposit.Granted)
	c.Assert(ok, qt.IsTrue)
	_, err = first.Confirm(ctx, granted.Claim)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Finish(ctx, granted.Claim, deposit.Record{Status: 201, Body: []byte("paid")}), qt.IsNil)
	store.Restore(older)
	for _, g := range []*deposit.Guard{first, second} {
		d, err = g.Begin(ctx, "bookings", "k1", 7)
		_, again := d.(deposit.Granted)
		c.Check(err == nil && again, qt.IsFalse, qt.Commentf("the payment was granted again"))
	}
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(second.Close(), qt.IsNil)
}
