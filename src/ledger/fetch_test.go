package ledger

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// countingStore counts the reads of heads and of all keys.
type countingStore struct {
	kv.Store
	headReads, reads atomic.Int32
}

func (s *countingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.reads.Add(1)
	if strings.HasPrefix(key, headPrefix) {
		s.headReads.Add(1)
	}
	return s.Store.Get(ctx, key)
}

func TestFetchUpdate(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	e := testEditor(store, 1)
	apply(c, e, testEdit("a", 0))
	apply(c, e, testEdit("b", 0))
	two, err := Load(ctx, store)
	c.Assert(err, qt.IsNil)
	apply(c, e, testEdit("a", 1))
	apply(c, e, testEdit("c", 0))
	apply(c, e, Edit{Service: "b", Remove: true})
	apply(c, e, testEdit("a", 2))
	other := testSnapshot(c, 2, testBody("a", 1, testDocument("a", 0)), testBody("x", 2, testDocument("x", 0))) // version 2 of another history

	tests := map[string]struct {
		base      *Snapshot
		headReads int32
		reads     int32 // of the reference, documents and heads
	}{
		"without a base":           {nil, 0, 3},
		"from a version before":    {two, 0, 3},
		"from a different history": {other, 1, 4},
	}
	want, err := Load(ctx, store)
	c.Assert(err, qt.IsNil)
	c.Assert(want.Version, qt.Equals, uint64(6))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			counting := &countingStore{Store: store}
			ref, err := ReadReference(ctx, counting)
			c.Assert(err, qt.IsNil)
			u, err := FetchUpdate(ctx, counting, test.base, ref)
			c.Assert(err, qt.IsNil)
			got, err := test.base.Apply(u)
			c.Assert(err, qt.IsNil)
			c.Assert(got.Digest, qt.Equals, want.Digest)
			c.Assert(got.Bodies, qt.DeepEquals, want.Bodies)
			c.Assert(counting.headReads.Load(), qt.Equals, test.headReads)
			c.Assert(counting.reads.Load(), qt.Equals, test.reads)
		})
	}
}

// A snapshot older than the latest changes in the reference needs a read of the head.
func TestFetchUpdateBeyondLatestChanges(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	e := testEditor(store, 1)
	apply(c, e, testEdit("a", 0))
	one, err := Load(ctx, store)
	c.Assert(err, qt.IsNil)
	for n := range MaxLatestChanges + 1 {
		apply(c, e, testEdit("b", n))
	}
	counting := &countingStore{Store: store}
	ref, err := ReadReference(ctx, counting)
	c.Assert(err, qt.IsNil)
	u, err := FetchUpdate(ctx, counting, one, ref)
	c.Assert(err, qt.IsNil)
	got, err := one.Apply(u)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Version, qt.Equals, uint64(MaxLatestChanges+2))
	c.Assert(counting.headReads.Load(), qt.Equals, int32(1))
}

// laggingStore reports each key but the reference as absent at its first reads, as a lagging replica does.
type laggingStore struct {
	kv.Store
	mu    sync.Mutex
	reads map[string]int
}

func (s *laggingStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	s.reads[key]++
	n := s.reads[key]
	s.mu.Unlock()
	if n < maxReadAttempts && key != HeadRefKey {
		return kv.Entry{}, problem.New(problem.NotFound, key, "absent", "")
	}
	return s.Store.Get(ctx, key)
}

func TestLoadLaggingReplica(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	apply(c, testEditor(store, 1), testEdit("a", 0))
	s, err := Load(context.Background(), &laggingStore{Store: store, reads: map[string]int{}})
	c.Assert(err, qt.IsNil)
	c.Assert(s.Version, qt.Equals, uint64(1))
}
