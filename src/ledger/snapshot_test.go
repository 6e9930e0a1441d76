package ledger

import (
	"bytes"
	"errors"
	"flag"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/examples"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestMain fixes the seed of the property tests, also when -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "4")
	os.Exit(m.Run())
}

func testBody(service string, version uint64, data []byte) wire.Body {
	return wire.Body{Service: service, Version: version, Digest: Digest(data), Data: data}
}

func testSnapshot(c *qt.C, version uint64, bodies ...wire.Body) *Snapshot {
	m := map[string]wire.Body{}
	for _, b := range bodies {
		m[b.Service] = b
	}
	s, err := NewSnapshot(version, m)
	c.Assert(err, qt.IsNil)
	return s
}

func TestSnapshotApply(t *testing.T) {
	c := qt.New(t)
	a1, a2, b2 := testBody("a", 1, testDocument("a", 1)), testBody("a", 2, testDocument("a", 2)), testBody("b", 2, testDocument("b", 0))
	one := testSnapshot(c, 1, a1)
	two := testSnapshot(c, 2, a2, b2)
	full, delta := two.UpdateFrom(0), two.UpdateFrom(1)
	modified := func(u wire.Update, modify func(*wire.Update)) wire.Update {
		u.Bodies = slices.Clone(u.Bodies)
		modify(&u)
		return u
	}
	dangling := testBody("b", 2, []byte("service = \"b\"\n[[route]]\nfallback = \"c\"\n"))
	tests := map[string]struct {
		base    *Snapshot
		update  wire.Update
		wantErr error
	}{
		"patch of another document": {one, modified(full, func(u *wire.Update) { u.Bodies[0].Patch.Base = "x" }), VersionGap},
		"patch past its document":   {one, modified(full, func(u *wire.Update) { u.From, u.Bodies[0].Patch = 1, wire.Patch{Base: a1.Digest, Head: 9, Tail: 99} }), problem.Protocol},
		"patch of negative length":  {one, modified(full, func(u *wire.Update) { u.From, u.Bodies[0].Patch = 1, wire.Patch{Base: a1.Digest, Head: -1} }), problem.Protocol},
		"full copy without a base":  {nil, full, nil},
		"full copy on older":        {one, full, nil},
		"delta on older":            {one, delta, nil},
		"repeated":                  {two, full, nil},
		"backward":                  {two, one.UpdateFrom(0), problem.Backward},
		"same number, other digest": {two, modified(full, func(u *wire.Update) { u.Digest++ }), problem.Backward},
		"delta without a base":      {nil, modified(full, func(u *wire.Update) { u.From = 1 }), VersionGap},
		"gap":                       {one, modified(full, func(u *wire.Update) { u.From, u.Version = 2, 3 }), VersionGap},
		"a body is missing":         {one, modified(full, func(u *wire.Update) { u.Bodies = u.Bodies[:1] }), VersionGap},
		"a body is damaged":         {one, modified(full, func(u *wire.Update) { u.Bodies[0].Data = []byte("service = \"a\"") }), problem.Protocol},
		"another schema":            {one, modified(full, func(u *wire.Update) { u.Schema++ }), problem.Protocol},
		"body of a later version":   {one, modified(full, func(u *wire.Update) { u.Bodies[0].Version = 3 }), problem.Protocol},
		"dangling reference": {one, modified(full, func(u *wire.Update) {
			u.Bodies[1] = dangling
			u.Digest = digestBodies(map[string]wire.Body{"a": a2, "b": dangling})
		}), problem.Document},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := test.base.Apply(test.update)
			if test.wantErr != nil {
				c.Assert(err, qt.ErrorIs, test.wantErr)
				c.Assert(got, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(got.Version, qt.Equals, uint64(2))
			c.Assert(got.Digest, qt.Equals, two.Digest)
		})
	}
	c.Assert(one.Bodies, qt.DeepEquals, map[string]wire.Body{"a": a1}) // Apply must not change its base
}

// TestSnapshotApplyRandomUpdates applies updates between random versions to random snapshots: each must fail, or lead to a complete version that is not older.
func TestSnapshotApplyRandomUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		history := []*Snapshot{nil}
		bodies := map[string]wire.Body{}
		for v := uint64(1); v <= 12; v++ {
			name := rapid.SampledFrom(names).Draw(t, "name")
			bodies = maps.Clone(bodies)
			if _, exists := bodies[name]; exists && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				delete(bodies, name)
			} else {
				bodies[name] = testBody(name, v, testDocument(name, rapid.IntRange(0, 2).Draw(t, "content")))
			}
			s, err := NewSnapshot(v, bodies)
			if err != nil {
				t.Fatal(err)
			}
			if s, err = history[v-1].Apply(s.UpdateFrom(0)); err != nil { // records the replaced documents, so that UpdateFrom sends patches
				t.Fatal(err)
			}
			history = append(history, s)
		}
		var current *Snapshot
		for range 20 {
			from := rapid.IntRange(0, 12).Draw(t, "have")
			source := history[rapid.IntRange(1, 12).Draw(t, "source")]
			next, err := current.Apply(source.UpdateFrom(uint64(from)))
			if err != nil {
				if !errors.Is(err, problem.Backward) && !errors.Is(err, VersionGap) {
					t.Fatal(err)
				}
				continue
			}
			if current != nil && next.Version < current.Version {
				t.Fatalf("version fell from %d to %d", current.Version, next.Version)
			}
			current = next
			want := history[current.Version]
			if current.Digest != want.Digest || !reflect.DeepEqual(current.Bodies, want.Bodies) || len(current.Documents) != len(want.Documents) {
				t.Fatalf("version %d is incomplete", current.Version)
			}
		}
	})
}

// FuzzUpdate checks that any update that can be decoded is either refused or applied completely.
func FuzzUpdate(f *testing.F) {
	c := qt.New(f)
	one := testSnapshot(c, 1, testBody("a", 1, testDocument("a", 1)))
	two := testSnapshot(c, 2, testBody("a", 1, testDocument("a", 1)), testBody("b", 2, testDocument("b", 1)))
	for _, u := range []wire.Update{two.UpdateFrom(0), two.UpdateFrom(1), one.UpdateFrom(0)} {
		b, err := u.MarshalMsg(nil)
		c.Assert(err, qt.IsNil)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var u wire.Update
		if _, err := u.UnmarshalMsg(data); err != nil {
			return
		}
		got, err := one.Apply(u)
		if err != nil {
			return
		}
		if got.Version < one.Version || got.Digest != digestBodies(got.Bodies) || len(got.Documents) != len(got.Bodies) {
			t.Fatalf("partial or backward snapshot %+v", got)
		}
	})
}

// TestSnapshotApplyLargestBody checks that the decoder's bounds allow the largest document that Parse accepts.
func TestSnapshotApplyLargestBody(t *testing.T) {
	c := qt.New(t)
	data := append(testDocument("a", 1), "# "...)
	data = append(data, bytes.Repeat([]byte("x"), document.MaxSize-len(data))...)
	encoded, err := new(testSnapshot(c, 1, testBody("a", 1, data)).UpdateFrom(0)).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	var u wire.Update
	_, err = u.UnmarshalMsg(encoded)
	c.Assert(err, qt.IsNil)
	s, err := (*Snapshot)(nil).Apply(u)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Bodies["a"].Data, qt.DeepEquals, data)
}

// An update must send a changed document as a patch of the previous one.
func TestUpdateFromPatch(t *testing.T) {
	c := qt.New(t)
	one := testSnapshot(c, 1, testBody("a", 1, testDocument("a", 1)))
	two, err := one.Apply(testSnapshot(c, 2, testBody("a", 2, testDocument("a", 2)), testBody("b", 2, testDocument("b", 1))).UpdateFrom(0))
	c.Assert(err, qt.IsNil)
	three, err := two.Apply(testSnapshot(c, 3, testBody("a", 2, testDocument("a", 2)), testBody("b", 3, testDocument("b", 2))).UpdateFrom(0))
	c.Assert(err, qt.IsNil)
	u := three.UpdateFrom(2)
	c.Assert(string(u.Bodies[0].Data), qt.Equals, "2") // the only byte that differs: 101ms became 102ms
	got, err := two.Apply(u)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Bodies, qt.DeepEquals, three.Bodies)
	c.Assert(three.UpdateFrom(1).Bodies[0].Patch.Base, qt.Equals, "") // a full copy, since all documents have changed
	_, err = one.Apply(u)
	c.Assert(err, qt.ErrorIs, VersionGap)
}

// TestPatchBodySize measures the bytes that one changed value of a team's document takes in a push.
func TestPatchBodySize(t *testing.T) {
	c := qt.New(t)
	before, err := examples.Files.ReadFile("hollins/bookings.toml")
	c.Assert(err, qt.IsNil)
	after := bytes.Replace(before, []byte("deadline = \""), []byte("deadline = \"1"), 1)
	c.Assert(bytes.Equal(before, after), qt.IsFalse)
	old, next := testBody("bookings", 1, before), testBody("bookings", 2, after)
	full, err := (&wire.Update{Bodies: []wire.Body{next}}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	patched, err := (&wire.Update{Bodies: []wire.Body{patchBody(next, old)}}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Logf("update of one value: %d bytes, %d as a patch", len(full), len(patched))
	c.Assert(len(patched) < len(full)/2, qt.IsTrue)
}

// An update must list the services removed since the version it starts from.
func TestUpdateFromRemovedService(t *testing.T) {
	c := qt.New(t)
	a, b := testBody("a", 1, testDocument("a", 1)), testBody("b", 2, testDocument("b", 1))
	two := testSnapshot(c, 2, a, b)
	three, err := two.Apply(testSnapshot(c, 3, a).UpdateFrom(0))
	c.Assert(err, qt.IsNil)
	u := three.UpdateFrom(2)
	c.Assert(u.Bodies, qt.HasLen, 0)
	c.Assert(u.Removed, qt.DeepEquals, []string{"b"})
	again, err := two.Apply(u)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Digest, qt.Equals, three.Digest)
}
