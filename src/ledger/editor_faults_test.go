package ledger

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// An edit must be applied once or refused, and its outcome reported correctly, when calls or answers are lost and other editors interfere.
func TestApplyFaults(t *testing.T) {
	applyConcurrent := func(c *qt.C, store kv.Store, service string) {
		apply(c, testEditor(store, 99), testEdit(service, 50))
	}
	tests := map[string]struct {
		before          func(c *qt.C, s kv.Store) func(op, key string) error
		after           func(c *qt.C, s kv.Store) func(op, key string) error
		wantVersion     uint64 // version that accepted the edit
		wantHeadVersion uint64 // version of the head at the end
		wantErr         error
	}{
		"no fault": {wantVersion: 2, wantHeadVersion: 2},
		"answer lost after the write": {
			after:       func(*qt.C, kv.Store) func(op, key string) error { return onNthHeadRefSwap(2, unsureError) },
			wantVersion: 2, wantHeadVersion: 2,
		},
		"answer lost, then another editor edits the same document": {
			after: func(c *qt.C, s kv.Store) func(op, key string) error {
				return onNthHeadRefSwap(2, func() error { applyConcurrent(c, s, "bookings"); return unsureError() })
			},
			wantVersion: 2, wantHeadVersion: 3,
		},
		"answer lost, then another editor edits another document": {
			after: func(c *qt.C, s kv.Store) func(op, key string) error {
				return onNthHeadRefSwap(2, func() error { applyConcurrent(c, s, "jobrecords"); return unsureError() })
			},
			wantVersion: 2, wantHeadVersion: 3,
		},
		"call lost before the write": {
			before:      func(*qt.C, kv.Store) func(op, key string) error { return onNthHeadRefSwap(2, unsureError) },
			wantVersion: 2, wantHeadVersion: 2,
		},
		"answer lost to the swap that lists the pending keys": {
			after:       func(*qt.C, kv.Store) func(op, key string) error { return onNthHeadRefSwap(1, unsureError) },
			wantVersion: 2, wantHeadVersion: 2,
		},
		"another editor edits another document first": {
			before: func(c *qt.C, s kv.Store) func(op, key string) error {
				return onNthHeadRefSwap(2, func() error { applyConcurrent(c, s, "jobrecords"); return nil })
			},
			wantVersion: 3, wantHeadVersion: 3,
		},
		"another editor edits the same document first": {
			before: func(c *qt.C, s kv.Store) func(op, key string) error {
				return onNthHeadRefSwap(2, func() error { applyConcurrent(c, s, "bookings"); return nil })
			},
			wantHeadVersion: 2, wantErr: problem.Conflict,
		},
		"another editor edits the same document and the call is lost": {
			before: func(c *qt.C, s kv.Store) func(op, key string) error {
				return onNthHeadRefSwap(2, func() error { applyConcurrent(c, s, "bookings"); return unsureError() })
			},
			wantHeadVersion: 2, wantErr: problem.Conflict,
		},
		"answer lost, then other editors edit the same document beyond the history": {
			after: func(c *qt.C, s kv.Store) func(op, key string) error {
				return onNthHeadRefSwap(2, func() error {
					for n := range MaxChangesPerService {
						apply(c, testEditor(s, 99+uint64(n)), testEdit("bookings", 50+n))
					}
					return unsureError()
				})
			},
			wantHeadVersion: 2 + MaxChangesPerService, wantErr: problem.Unsure,
		},
		"the store stays down": {
			before: func(*qt.C, kv.Store) func(op, key string) error {
				return func(string, string) error { return problem.New(problem.Unavailable, "store", "down", "") }
			},
			wantHeadVersion: 1, wantErr: problem.Unavailable,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			store := newMemoryStore()
			apply(c, testEditor(store, 1), testEdit("bookings", 0))
			hooked := &hookStore{Store: store}
			if test.before != nil {
				hooked.before = test.before(c, store)
			}
			if test.after != nil {
				hooked.after = test.after(c, store)
			}
			r, err := testEditor(hooked, 2).Apply(context.Background(), testEdit("bookings", 7))
			if test.wantErr != nil {
				c.Assert(err, qt.ErrorIs, test.wantErr)
			} else {
				c.Assert(err, qt.IsNil)
			}
			c.Assert(r.Version, qt.Equals, test.wantVersion)
			h, err := testEditor(store, 3).Head(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(h.Version, qt.Equals, test.wantHeadVersion)
			_, err = Load(context.Background(), store)
			c.Assert(err, qt.IsNil)
		})
	}
}
