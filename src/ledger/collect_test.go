package ledger

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// later returns an editor whose clock stands after the time that a body is kept.
func later(store *memoryStore, seed uint64) *Editor {
	e := testEditor(store, seed)
	e.Now = func() time.Time { return start.Add(RetireAge) }
	return e
}

func holdsBody(store *memoryStore, data []byte) bool {
	_, ok := store.entries[BodyKey(Digest(data))]
	return ok
}

func TestCollectDeletesOldBodies(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	e := testEditor(store, 1)
	for n := range ChangesKept + 1 {
		apply(c, e, testEdit("bookings", n))
	}
	apply(c, e, testEdit("jobrecords", 0))
	c.Assert(holdsBody(store, testDocument("bookings", 0)), qt.IsTrue) // young enough for a slow reader

	apply(c, later(store, 2), testEdit("jobrecords", 1))
	c.Assert(holdsBody(store, testDocument("bookings", 0)), qt.IsFalse)
	c.Assert(holdsBody(store, testDocument("bookings", 1)), qt.IsTrue) // the history names it
	h, err := e.Head(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(h.Retired, qt.HasLen, 0)
}

func TestCollectDeletesTheBodyOfACrashedEditor(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	ctx, cancel := context.WithCancel(context.Background())
	crashing := &hookStore{Store: store, before: nthHeadSwap(2, func() error { cancel(); return problem.New(problem.Unavailable, "", "", "") })}
	_, err := testEditor(crashing, 1).Apply(ctx, testEdit("bookings", 0))
	c.Assert(err, qt.ErrorIs, problem.Unavailable)
	c.Assert(holdsBody(store, testDocument("bookings", 0)), qt.IsTrue)

	apply(c, later(store, 2), testEdit("jobrecords", 0)) // marks
	apply(c, later(store, 3), testEdit("jobrecords", 1)) // deletes
	c.Assert(holdsBody(store, testDocument("bookings", 0)), qt.IsFalse)
}

func TestCollectSparesABodyThatIsWantedAgain(t *testing.T) {
	for name, op := range map[string]string{"before the head is read again": "get", "before the deletion": "delete"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store := newMemoryStore()
			e := testEditor(store, 1)
			for n := range ChangesKept + 1 {
				apply(c, e, testEdit("bookings", n))
			}
			// The collector stops at op while another editor brings the first document back.
			back := func() { apply(c, later(store, 3), testEdit("bookings", 0)) }
			collector := later(store, 2)
			collector.Store = &pausingStore{hookStore: hookStore{Store: store}, op: op, key: BodyKey(Digest(testDocument("bookings", 0))), then: back}
			apply(c, collector, testEdit("jobrecords", 1))
			s, err := Load(context.Background(), store)
			c.Assert(err, qt.IsNil)
			c.Assert(s.Bodies["bookings"].Data, qt.DeepEquals, testDocument("bookings", 0))
		})
	}
}

func TestCollectSparesABodyThatIsBeingWrittenAgain(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	e := testEditor(store, 1)
	for n := range ChangesKept + 1 {
		apply(c, e, testEdit("bookings", n))
	}
	down := func(op, _ string) error {
		if op == "delete" {
			return problem.New(problem.Unavailable, "store", "down", "")
		}
		return nil
	}
	marking := later(store, 2)
	marking.Store = &hookStore{Store: store, before: down}
	apply(c, marking, testEdit("jobrecords", 0))
	doomed, err := e.Head(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(doomed.Retired[0].Doomed, qt.IsTrue)

	// The other editor has written the body and stops before its acceptance; a collector with the old head goes on and crashes after its deletions.
	crash := func(op, _ string) error {
		if op == "swap" {
			return problem.New(problem.Unavailable, "store", "down", "")
		}
		return nil
	}
	collector := later(store, 3)
	collector.Store = &hookStore{Store: store, before: crash}
	collect := func() error { collector.collectNow(ctx, &doomed); return nil }
	apply(c, testEditor(&hookStore{Store: store, before: nthHeadSwap(2, collect)}, 4), testEdit("bookings", 0))
	s, err := Load(ctx, store)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Bodies["bookings"].Data, qt.DeepEquals, testDocument("bookings", 0))
}

func (e *Editor) collectNow(ctx context.Context, h *wire.Head) {
	e.init()
	e.collect(ctx, h)
}
