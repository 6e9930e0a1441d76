package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

var startTime = time.Unix(1_700_000_000, 0)

// testEditor returns an editor whose clock stays at startTime and which does not wait between attempts.
func testEditor(store kv.Store, seed uint64) *Editor {
	return &Editor{
		Store: store,
		Now:   func() time.Time { return startTime },
		Sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		Rand:  rand.New(rand.NewPCG(seed, 0)),
	}
}

// testDocument returns a document of a service; its timeout depends on n.
func testDocument(service string, n int) []byte {
	return fmt.Appendf(nil, "service = %q\n[[route]]\ntimeout = \"%dms\"\n", service, 100+n)
}

func testEdit(service string, n int) Edit {
	return Edit{Service: service, Data: testDocument(service, n), File: service + ".toml"}
}

func apply(c *qt.C, e *Editor, edit Edit) Result {
	r, err := e.Apply(context.Background(), edit)
	c.Assert(err, qt.IsNil)
	return r
}

// onNthHeadRefSwap returns a hook that runs action at the n-th swap of the reference; in an edit's first attempt, the first swap lists its keys as pending and the second accepts the edit.
func onNthHeadRefSwap(n int, action func() error) func(op, key string) error {
	count := 0
	return func(op, key string) error {
		if op != "swap" || key != HeadRefKey {
			return nil
		}
		if count++; count == n {
			return action()
		}
		return nil
	}
}

func unsureError() error { return problem.New(problem.Unsure, HeadRefKey, "answer lost", "") }

// A conflict error must show what the other edit changed and the base version to apply with.
func TestApplyConflictError(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	e := testEditor(store, 1)
	base := apply(c, e, testEdit("bookings", 0)).Version
	apply(c, e, testEdit("bookings", 1))
	edit := testEdit("bookings", 2)
	edit.BaseVersion = base
	_, err := e.Apply(context.Background(), edit)
	c.Assert(err, qt.ErrorIs, problem.Conflict)
	c.Assert(err, qt.ErrorMatches, `(?s).*changed in version 2 at .*- timeout = "100ms"\n\+ timeout = "101ms".*apply it with base version 2`)
	edit.BaseVersion = 2
	c.Assert(apply(c, e, edit).Version, qt.Equals, uint64(3))
}

// Concurrent edits of different documents must all be accepted, each in a version of its own.
func TestApplyConcurrentServices(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	const editors = 8
	versions := make([]uint64, editors)
	var wg sync.WaitGroup
	for i := range editors {
		wg.Go(func() {
			r, err := testEditor(store, uint64(i)).Apply(context.Background(), testEdit(fmt.Sprintf("service-%d", i), i))
			c.Check(err, qt.IsNil)
			versions[i] = r.Version
		})
	}
	wg.Wait()
	s, err := Load(context.Background(), store)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Version, qt.Equals, uint64(editors))
	for i, v := range versions {
		c.Assert(s.Bodies[fmt.Sprintf("service-%d", i)].Version, qt.Equals, v)
	}
}

// Repeating an edit under its id must not apply it again, and another edit under that id is refused.
func TestApplyRepeatedEditID(t *testing.T) {
	c := qt.New(t)
	e := testEditor(newMemoryStore(), 1)
	edit := testEdit("bookings", 0)
	edit.EditID = "a"
	c.Assert(apply(c, e, edit).Version, qt.Equals, uint64(1))
	apply(c, e, testEdit("bookings", 1))
	c.Assert(apply(c, e, edit).Version, qt.Equals, uint64(1))
	edit.Data = testDocument("bookings", 5)
	_, err := e.Apply(context.Background(), edit)
	c.Assert(err, qt.ErrorIs, problem.Conflict)
}

// Edits and removals need the team's token, and the store must not hold it in plain text.
func TestApplyToken(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	e := testEditor(store, 1)
	edit := testEdit("bookings", 0)
	edit.Token = "secret"
	apply(c, e, edit)
	for name, token := range map[string]string{"none": "", "another": "Secret"} {
		other := testEdit("bookings", 1)
		other.Token = token
		_, err := e.Apply(context.Background(), other)
		c.Check(err, qt.ErrorIs, problem.Denied, qt.Commentf("%s", name))
		other.Remove = true
		_, err = e.Apply(context.Background(), other)
		c.Check(err, qt.ErrorIs, problem.Denied, qt.Commentf("%s", name))
	}
	edit.Data = testDocument("bookings", 2)
	c.Assert(apply(c, e, edit).Version, qt.Equals, uint64(2))
	for _, entry := range store.entries {
		c.Assert(strings.Contains(string(entry.Value), "secret"), qt.IsFalse)
	}
}

// When another editor removes a service that the document refers to before the acceptance,
// the next attempt must check the document against the new head and refuse the edit.
func TestApplyFallbackServiceRemoved(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	apply(c, testEditor(store, 1), testEdit("archivo", 0))
	remove := func() error {
		apply(c, testEditor(store, 2), Edit{Service: "archivo", Remove: true})
		return nil
	}
	hooked := &hookStore{Store: store, before: onNthHeadRefSwap(2, remove)}
	_, err := testEditor(hooked, 3).Apply(context.Background(), Edit{Service: "mostrador", File: "m.toml", Data: []byte("service = \"mostrador\"\n[[route]]\nfallback = \"archivo\"\n")})
	c.Assert(err, qt.ErrorMatches, `.*m\.toml:3: route\[0\]\.fallback: service "archivo" has no document.*`)
}

// A store restored from a backup holds an older version than daemons serve; edits of it are refused.
func TestApplyRestoredBackup(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	e := testEditor(store, 1)
	apply(c, e, testEdit("bookings", 0))
	backup := store.entries[HeadRefKey]
	apply(c, e, testEdit("bookings", 1))
	store.revision++
	store.entries[HeadRefKey] = kv.Entry{Key: HeadRefKey, Value: backup.Value, Revision: store.revision}

	fresh := testEditor(store, 2)
	fresh.MinVersion = 2
	for name, editor := range map[string]*Editor{"version read before": e, "minimum version set": fresh} {
		_, err := editor.Apply(context.Background(), testEdit("bookings", 3))
		c.Check(err, qt.ErrorIs, problem.Backward, qt.Commentf("%s", name))
	}
}

func TestRollback(t *testing.T) {
	c := qt.New(t)
	e := testEditor(newMemoryStore(), 1)
	for n := range 3 {
		apply(c, e, testEdit("bookings", n))
	}
	r, err := e.Rollback(context.Background(), Edit{Service: "bookings"}, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Version, qt.Equals, uint64(4))
	data, _, err := e.Get(context.Background(), "bookings", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(data, qt.DeepEquals, testDocument("bookings", 0))
	changes, err := e.History(context.Background(), "bookings")
	c.Assert(err, qt.IsNil)
	c.Assert(changes[3].Note, qt.Equals, "rollback to version 1")
}

// TestHeadSize checks the sizes of the head, which editors read, and of the reference, which readers poll, for 110 services, the size designed for (MaxServices is the bound).
func TestHeadSize(t *testing.T) {
	c := qt.New(t)
	h := wire.Head{Schema: wire.SchemaNumber}
	now := startTime
	for n := range MaxChangesPerService {
		for i := range 110 {
			h.Version++
			name := fmt.Sprintf("service-of-team-%03d", i)
			digest := Digest(testDocument(name, n))
			s := wire.HeadService{Name: name, Version: h.Version, Digest: digest, Size: 2000, TokenHash: HashToken(name)}
			setService(&h, s)
			addChange(&h, wire.HeadChange{Version: h.Version, Service: name, Digest: digest, EditID: "0123456789abcdef", At: now.UnixMilli(), Note: "raise the timeout of the diary reads in the morning"})
		}
	}
	for n := range 320 {
		h.Retired = append(h.Retired, wire.RetiredKey{Key: BodyKey(Digest(testDocument("old", n))), At: now.UnixMilli()})
	}
	value, err := encodeHead(&h)
	c.Assert(err, qt.IsNil)
	c.Logf("head of 110 services with %d changes each and %d retired bodies: %d bytes", MaxChangesPerService, len(h.Retired), len(value))
	c.Assert(len(value) < kv.MaxValueSize/4, qt.IsTrue)

	r := wire.HeadRef{Schema: wire.SchemaNumber, Version: h.Version, Digest: 1 << 63, Head: "0123456789abcdef", HeadDigest: Digest(value)}
	for _, x := range h.Changes[:MaxLatestChanges] {
		r.Latest = append(r.Latest, wire.LatestChange{Version: x.Version, Service: x.Service, Digest: x.Digest})
	}
	ref, err := r.MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Logf("reference with %d changes: %d bytes", MaxLatestChanges, len(ref))
	c.Assert(len(ref) < 2000, qt.IsTrue)
}
