package kv_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/standin"
)

// A write that was prepared before the store came back from an older copy must not take effect
// after it, although the copy's numbers match: it would overwrite what was written since.
func TestRemoteEra(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	k := &standin.Keyspace{}
	r := remote(c, k)
	first, err := r.Swap(ctx, "k", 0, []byte("1"))
	c.Assert(err, qt.IsNil)
	c.Assert(r.NamesEra(), qt.IsTrue)
	older := k.Copy()
	_, err = r.Swap(ctx, "k", first, []byte("2"))
	c.Assert(err, qt.IsNil)
	for era := uint64(1); era <= 2; era++ {
		k.Restore(older)
		_, err = r.Swap(ctx, "k", first, []byte("late"))
		c.Assert(err, qt.ErrorIs, problem.Conflict)
		c.Assert(r.Delete(ctx, "k", first), qt.ErrorIs, problem.Conflict)
		e, err := r.Get(ctx, "k")
		c.Assert(err, qt.IsNil)
		c.Assert(e, qt.DeepEquals, kv.Entry{Key: "k", Value: []byte("1"), Revision: kv.JoinRevision(era, 1), Era: era})
		e, err = r.Watch(ctx, "k", first, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(e.Revision > first, qt.IsTrue)
		e, err = r.Get(ctx, "missing")
		c.Assert(err, qt.ErrorIs, problem.NotFound)
		c.Assert(e.Era, qt.Equals, era)
		_, err = r.Swap(ctx, "missing", kv.JoinRevision(era-1, 0), nil)
		c.Assert(errors.Is(err, problem.Conflict), qt.Equals, era > 1)
		_, err = r.Swap(ctx, "other", kv.JoinRevision(era, 0), nil)
		c.Assert(err, qt.IsNil)
	}
}
