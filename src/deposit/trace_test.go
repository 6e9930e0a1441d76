package deposit_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/trace"
)

var writeTraces = flag.Bool("write_traces", false, "write the traces anew instead of comparing them")

// scene is a guard whose decisions are recorded, and a second holder on the same store.
type scene struct {
	c     *qt.C
	clock *clock
	store *scripted
	tape  *tape
	guard *deposit.Guard
	other *deposit.Guard
}

func newScene(c *qt.C, title string) *scene {
	s := &scene{c: c, clock: &clock{now: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)}, store: &scripted{}, tape: &tape{}}
	s.guard = &deposit.Guard{
		Store:  s.store,
		Holder: 1,
		Now:    s.clock.Now,
		Record: &trace.Recorder{W: s.tape, Header: trace.Header{Title: title, Seed: 1}},
	}
	s.other = &deposit.Guard{Store: &s.store.Keyspace, Holder: 2, Now: s.clock.Now}
	return s
}

// begin asks g for the one key of the scene and checks the kind of its decision.
func (s *scene) begin(g *deposit.Guard, want string) deposit.Claim {
	d, err := g.Begin(context.Background(), "bookings", "k1", 7)
	if err != nil {
		d = deposit.NotRun{}
	}
	s.c.Assert(trace.Kind(d), qt.Equals, want)
	granted, _ := d.(deposit.Granted)
	return granted.Claim
}

func (s *scene) finish(g *deposit.Guard, claim deposit.Claim) {
	err := g.Finish(context.Background(), claim, deposit.Record{Status: 201, Body: []byte("paid")})
	s.c.Assert(err, qt.IsNil)
}

func TestTraces(t *testing.T) {
	tests := map[string]struct {
		title string
		play  func(s *scene)
	}{
		"lost_answer": {"the answers to claim and outcome are lost after the writes", func(s *scene) {
			s.store.script("", lost)
			claim := s.begin(s.guard, "granted")
			s.store.script(lost)
			s.finish(s.guard, claim)
			s.begin(s.guard, "replay")
		}},
		"same_moment": {"another holder's claim comes between read and write", func(s *scene) {
			var claim deposit.Claim
			s.store.rival = func() { claim = s.begin(s.other, "granted") }
			s.store.script("", rival)
			s.begin(s.guard, "in_progress")
			s.finish(s.other, claim)
			s.begin(s.guard, "replay")
		}},
		"holder_died": {"a claim's holder dies in mid-run", func(s *scene) {
			s.begin(s.other, "granted")
			s.begin(s.guard, "in_progress")
			s.clock.Add(deposit.DefaultTimeout)
			s.begin(s.guard, "unknown")
			s.clock.Add(deposit.DefaultExpiry - deposit.DefaultTimeout - 1)
			s.begin(s.guard, "unknown")
			s.clock.Add(1)
			s.begin(s.guard, "granted")
		}},
		"store_down": {"the store goes down after a write that is not known to have taken effect, and comes back late", func(s *scene) {
			s.store.rival = func() { s.clock.Add(deposit.DefaultTimeout) }
			s.store.script("", lost, down, late)
			s.begin(s.guard, "not_run")
			s.tape.bytes(6) // the clean-up has given up
			s.begin(s.other, "unknown")
			s.begin(s.guard, "not_run") // the pause after a failure
			s.clock.Add(time.Second)
			s.finish(s.guard, s.begin(s.guard, "granted"))
		}},
		"delayed_write": {"a refused request's write is still under way", func(s *scene) {
			s.store.script("", held, down)
			s.begin(s.guard, "not_run")
			s.tape.bytes(7) // the clean-up has written the slot
			s.begin(s.other, "granted")
		}},
		"paused_holder": {"a holder is paused past the expiry of its claim", func(s *scene) {
			claim := s.begin(s.guard, "granted")
			s.clock.Add(deposit.DefaultExpiry)
			s.finish(s.other, s.begin(s.other, "granted"))
			_, err := s.guard.Confirm(context.Background(), claim)
			s.c.Assert(err, qt.IsNotNil)
			s.c.Assert(s.guard.Release(context.Background(), claim), qt.IsNil)
			s.begin(s.guard, "replay")
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newScene(c, tc.title)
			tc.play(s)
			c.Assert(s.guard.Close(), qt.IsNil)
			c.Assert(s.other.Close(), qt.IsNil)
			got := s.tape.bytes(0)
			file := filepath.Join("..", "..", "testdata", "traces", "deposit_"+name+".jsonl")
			if *writeTraces {
				c.Assert(os.WriteFile(file, got, 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			c.Check(string(got), qt.Equals, string(want))
			tr, err := trace.Read(bytes.NewReader(want))
			c.Assert(err, qt.IsNil)
			core, err := deposit.NewReplay(tr.Header)
			c.Assert(err, qt.IsNil)
			c.Check(tr.Run(core), qt.IsNil)
		})
	}
}
