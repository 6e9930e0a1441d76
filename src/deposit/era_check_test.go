package deposit_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/standin"
)

// An idle holder must notice over HTTP that the store came back from an older copy, and write its
// claim again by itself, before
// another holder grants the key.
func TestIdleHolderWritesAgain(t *testing.T) {
	const timeout = 3 * time.Second
	c := qt.New(t)
	ctx := context.Background()
	keyspace := &standin.Keyspace{}
	first := &deposit.Guard{Store: startStore(c, keyspace), Holder: 1, Timeout: timeout}
	second := &deposit.Guard{Store: startStore(c, keyspace), Holder: 2, Timeout: timeout}
	older := keyspace.Copy()
	c.Assert(servePayment(ctx, first, "k1"), qt.IsTrue)
	keyspace.Restore(older)
	restored := time.Now()
	for {
		d, err := second.Begin(ctx, "bookings", "k1", 7)
		if err == nil {
			_, replayed := d.(deposit.Replay)
			c.Assert(replayed, qt.IsTrue, qt.Commentf("%T", d))
			break
		}
		c.Assert(err, qt.ErrorIs, problem.NotRun)
		time.Sleep(50 * time.Millisecond)
	}
	c.Check(time.Since(restored) < timeout, qt.IsTrue)
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(second.Close(), qt.IsNil)
}
