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

// editorAfterRetention returns an editor whose clock stands after the time that a body is kept.
func editorAfterRetention(store *memoryStore, seed uint64) *Editor {
	e := testEditor(store, seed)
	e.Now = func() time.Time { return startTime.Add(BodyRetention) }
	return e
}

func storeHasBody(store *memoryStore, data []byte) bool {
	_, ok := store.entries[BodyKey(Digest(data))]
	return ok
}

// retiredKeys returns the keys that the accepted head lists for deletion.
func retiredKeys(c *qt.C, store *memoryStore) []string {
	h, err := testEditor(store, 9).Head(context.Background())
	c.Assert(err, qt.IsNil)
	keys := []string{}
	for _, r := range h.Retired {
		keys = append(keys, r.Key)
	}
	return keys
}

// countHeads counts the accepted countHeads that the store holds.
func countHeads(store *memoryStore) int {
	n := 0
	for key := range store.entries {
		if strings.HasPrefix(key, headPrefix) {
			n++
		}
	}
	return n
}

func TestCollectDeletesOldKeys(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	e := testEditor(store, 1)
	for n := range MaxChangesPerService + 1 {
		apply(c, e, testEdit("bookings", n))
	}
	apply(c, e, testEdit("jobrecords", 0))
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsTrue) // young enough for a slow reader
	c.Assert(countHeads(store), qt.Equals, MaxChangesPerService+2)

	for n := range 4 { // each edit deletes what the one before has marked
		apply(c, editorAfterRetention(store, 20+uint64(n)), testEdit("jobrecords", 1+n))
	}
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsFalse)
	c.Assert(storeHasBody(store, testDocument("bookings", 1)), qt.IsTrue) // the history names it
	c.Assert(countHeads(store), qt.Equals, 4+1)                           // those of the last minute
	c.Assert(retiredKeys(c, store), qt.HasLen, 4)
}

func TestCollectDeletesTheKeysOfACrashedEditor(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	ctx, cancel := context.WithCancel(context.Background())
	hooked := &hookStore{Store: store, before: onNthHeadRefSwap(2, func() error { cancel(); return problem.New(problem.Unavailable, "", "", "") })}
	_, err := testEditor(hooked, 1).Apply(ctx, testEdit("bookings", 0))
	c.Assert(err, qt.ErrorIs, problem.Unavailable)
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsTrue)
	c.Assert(countHeads(store), qt.Equals, 1)

	apply(c, editorAfterRetention(store, 2), testEdit("jobrecords", 0)) // marks
	apply(c, editorAfterRetention(store, 3), testEdit("jobrecords", 1)) // deletes
	c.Assert(storeHasBody(store, testDocument("bookings", 0)), qt.IsFalse)
	c.Assert(countHeads(store), qt.Equals, 2)
	ref, _, err := readHeadRef(context.Background(), store)
	c.Assert(err, qt.IsNil)
	c.Assert(ref.Pending, qt.HasLen, 0)
}

// storeWithDoomedBody returns a store in which the first document of bookings is marked for deletion, and that document.
func storeWithDoomedBody(c *qt.C) (*memoryStore, []byte) {
	store := newMemoryStore()
	e := testEditor(store, 1)
	for n := range MaxChangesPerService + 1 {
		apply(c, e, testEdit("bookings", n))
	}
	data := testDocument("bookings", 0)
	for n := range 5 { // a few keys are marked by each edit
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

// failDelete keeps an editor from deleting keys itself.
func failDelete(op, _ string) error {
	if op == "delete" {
		return problem.New(problem.Unavailable, "store", "down", "")
	}
	return nil
}

func TestCollectSparesABodyThatIsWantedAgain(t *testing.T) {
	tests := map[string]string{"before the first read": "before get", "before the reference is read again": "get", "before the deletion": "delete"}
	for name, op := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store, data := storeWithDoomedBody(c)
			// The collector stops at op while another editor brings the document restore.
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

func TestCollectSparesABodyThatIsBeingWrittenAgain(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store, data := storeWithDoomedBody(c)
	oldState, err := readState(ctx, store)
	c.Assert(err, qt.IsNil)

	// The other editor has written the body and stops before its acceptance; a collector with the old head goes on and crashes after its deletions.
	collector := editorAfterRetention(store, 3)
	collect := func() error { collector.initAndCollect(ctx, oldState); return nil }
	apply(c, testEditor(&hookStore{Store: store, before: onNthHeadRefSwap(2, collect)}, 4), testEdit("bookings", 0))
	s, err := Load(ctx, store)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Bodies["bookings"].Data, qt.DeepEquals, data)
}

func (e *Editor) initAndCollect(ctx context.Context, st state) {
	e.init()
	e.collectGarbage(ctx, st)
}
