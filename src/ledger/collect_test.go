package ledger

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// editorAfterRetention returns an editor whose clock is BodyRetention past startTime.
func editorAfterRetention(store *memoryStore, seed uint64) *Editor {
	e := testEditor(store, seed)
	e.Now = func() time.Time { return startTime.Add(BodyRetention) }
	return e
}

func storeHasBody(store *memoryStore, data []byte) bool {
	_, ok := store.entries[BodyKey(Digest(data))]
	return ok
}

// retiredKeys returns the retired keys of the accepted head.
func retiredKeys(c *qt.C, store *memoryStore) []string {
	h, err := testEditor(store, 9).Head(context.Background())
	c.Assert(err, qt.IsNil)
	keys := []string{}
	for _, r := range h.Retired {
		keys = append(keys, r.Key)
	}
	return keys
}

// countHeads counts the heads in the store, accepted or not.
func countHeads(store *memoryStore) int {
	n := 0
	for key := range store.entries {
		if strings.HasPrefix(key, headPrefix) {
			n++
		}
	}
	return n
}

// Keys must be deleted once their retention has ended, but not before and not while the history refers to them.
func TestCollectGarbageExpiredKeys(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	e := testEditor(store, 1)
	for n := range MaxChangesPerService + 1 {
		apply(c, e, testEdit("bookings", n))
	}
	apply(c, e, testEdit("jobrecords", 0))
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsTrue) // kept for slow readers
	c.Assert(countHeads(store), qt.Equals, MaxChangesPerService+2)

	for n := range 4 { // each edit deletes the keys that the one before has marked
		apply(c, editorAfterRetention(store, 20+uint64(n)), testEdit("jobrecords", 1+n))
	}
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsFalse)
	c.Assert(storeHasBody(store, testDocument("bookings", 1)), qt.IsTrue) // the history refers to it
	c.Assert(countHeads(store), qt.Equals, 4+1)                           // replaced within HeadRetention, and the accepted one
	c.Assert(retiredKeys(c, store), qt.HasLen, 4)
}

// The keys of an editor that crashed before its acceptance are pending in the reference and must be deleted after BodyRetention.
func TestCollectGarbageCrashedEditor(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	ctx, cancel := context.WithCancel(context.Background())
	hooked := &hookStore{Store: store, before: onNthHeadRefSwap(2, func() error { cancel(); return problem.New(problem.Unavailable, "", "", "") })}
	_, err := testEditor(hooked, 1).Apply(ctx, testEdit("bookings", 0))
	c.Assert(err, qt.ErrorIs, problem.Unavailable)
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsTrue)
	c.Assert(countHeads(store), qt.Equals, 1)

	apply(c, editorAfterRetention(store, 2), testEdit("jobrecords", 0)) // marks the keys
	apply(c, editorAfterRetention(store, 3), testEdit("jobrecords", 1)) // deletes them
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsFalse)
	c.Assert(countHeads(store), qt.Equals, 2)
	ref, _, err := readHeadRef(context.Background(), store)
	c.Assert(err, qt.IsNil)
	c.Assert(ref.Pending, qt.HasLen, 0)
}

// storeWithDoomedBody returns a store in which the first document of bookings is doomed, and that document.
func storeWithDoomedBody(c *qt.C) (*memoryStore, []byte) {
	store := newMemoryStore()
	e := testEditor(store, 1)
	for n := range MaxChangesPerService + 1 {
		apply(c, e, testEdit("bookings", n))
	}
	data := testDocument("bookings", 0)
	for n := range 5 { // each edit marks only a few keys
		apply(c, editorAfterRetention(store, 20+uint64(n)), testEdit("jobrecords", n))
		st, err := readState(context.Background(), store)
		c.Assert(err, qt.IsNil)
		if slices.ContainsFunc(st.head.Retired, func(r wire.RetiredKey) bool { return r.Key == BodyKey(Digest(data)) && r.Doomed }) {
			return store, data
		}
	}
	c.Fatal("the document was never marked")
	return nil, nil
}

// failDelete is a hook that makes deletions fail.
func failDelete(op, _ string) error {
	if op == "delete" {
		return problem.New(problem.Unavailable, "store", "down", "")
	}
	return nil
}

// An edit that applies a doomed document again must not lose its body to a collector that runs at the same time.
func TestCollectGarbageConcurrentReuse(t *testing.T) {
	tests := map[string]string{"before the first read": "before get", "before the reference is read again": "after get", "before the deletion": "before delete"}
	for name, op := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store, data := storeWithDoomedBody(c)
			// Another editor applies the document again while the collector is at op.
			// Its own deletions fail, so that it leaves the doomed body to the collector.
			restore := func() { apply(c, testEditor(&hookStore{Store: store, before: failDelete}, 3), testEdit("bookings", 0)) }
			collector := editorAfterRetention(store, 2)
			collector.Store = &runOnceStore{hookStore: hookStore{Store: store}, op: op, key: BodyKey(Digest(data)), action: restore}
			apply(c, collector, testEdit("jobrecords", 5))
			s, err := Load(context.Background(), store)
			c.Assert(err, qt.IsNil)
			c.Assert(s.Bodies["bookings"].Data, qt.DeepEquals, data)
		})
	}
}

// A body that is written again but not yet accepted must not be deleted by a collector that works from an older head.
func TestCollectGarbageUnacceptedReuse(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store, data := storeWithDoomedBody(c)
	oldState, err := readState(ctx, store)
	c.Assert(err, qt.IsNil)

	// The collector runs between the editor's write of the body and its acceptance and then writes no head, like an editor that crashes.
	collector := editorAfterRetention(store, 3)
	collect := func() error { collector.initAndCollect(ctx, oldState); return nil }
	apply(c, testEditor(&hookStore{Store: store, before: onNthHeadRefSwap(2, collect)}, 4), testEdit("bookings", 0))
	s, err := Load(ctx, store)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Bodies["bookings"].Data, qt.DeepEquals, data)
}

// initAndCollect collects garbage as of an earlier state, without an edit.
func (e *Editor) initAndCollect(ctx context.Context, st storedState) {
	e.init()
	e.collectGarbage(ctx, st)
}
