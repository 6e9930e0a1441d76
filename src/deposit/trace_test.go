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

// scenario is a guard whose steps are recorded as a trace, and a second guard (another holder) on the same store.
type scenario struct {
	c     *qt.C
	clock *manualClock
	store *scriptedStore
	trace *traceBuffer
	guard *deposit.Guard
	other *deposit.Guard
}

func newScenario(c *qt.C, title string) *scenario {
	s := &scenario{c: c, clock: &manualClock{now: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)}, store: &scriptedStore{}, trace: &traceBuffer{}}
	s.guard = &deposit.Guard{
		Store:  s.store,
		Holder: 1,
		Now:    s.clock.Now,
		Record: &trace.Recorder{W: s.trace, Header: trace.Header{Title: title, Seed: 1}},
	}
	s.other = &deposit.Guard{Store: &s.store.Keyspace, Holder: 2, Now: s.clock.Now}
	return s
}

// begin calls Begin on g with the scenario's only key, checks the kind of the decision and returns the claim granted, if any.
func (s *scenario) begin(g *deposit.Guard, want string) deposit.Claim {
	d, err := g.Begin(context.Background(), "bookings", "k1", 7)
	if err != nil {
		d = deposit.NotRun{}
	}
	s.c.Assert(trace.Kind(d), qt.Equals, want)
	granted, _ := d.(deposit.Granted)
	return granted.Claim
}

func (s *scenario) finish(g *deposit.Guard, claim deposit.Claim) {
	err := g.Finish(context.Background(), claim, deposit.Record{Status: 201, Body: []byte("paid")})
	s.c.Assert(err, qt.IsNil)
}

// TestTraces runs each scenario and compares its trace with the one in testdata, which is also replayed.
func TestTraces(t *testing.T) {
	tests := map[string]struct {
		title string
		run   func(s *scenario)
	}{
		"lost_answer": {"the answers to claim and outcome are lost after the writes", func(s *scenario) {
			s.store.setFaults("", lost)
			claim := s.begin(s.guard, "granted")
			s.store.setFaults(lost)
			s.finish(s.guard, claim)
			s.begin(s.guard, "replay")
		}},
		"same_moment": {"another holder's claim comes between read and write", func(s *scenario) {
			var claim deposit.Claim
			s.store.interfere = func() { claim = s.begin(s.other, "granted") }
			s.store.setFaults("", interfereFirst)
			s.begin(s.guard, "in_progress")
			s.finish(s.other, claim)
			s.begin(s.guard, "replay")
		}},
		"holder_died": {"a claim's holder dies in mid-run", func(s *scenario) {
			s.begin(s.other, "granted")
			s.begin(s.guard, "in_progress")
			s.clock.Add(deposit.DefaultTimeout)
			s.begin(s.guard, "unknown")
			s.clock.Add(deposit.DefaultExpiry - deposit.DefaultTimeout - 1)
			s.begin(s.guard, "unknown")
			s.clock.Add(1)
			s.begin(s.guard, "granted")
		}},
		"store_down": {"the store goes down after a write that is not known to have taken effect, and comes back late", func(s *scenario) {
			s.store.interfere = func() { s.clock.Add(deposit.DefaultTimeout) }
			s.store.setFaults("", lost, down, interfereThenDown)
			s.begin(s.guard, "not_run")
			s.trace.waitForLines(6) // the background release has failed
			s.begin(s.other, "unknown")
			s.begin(s.guard, "not_run") // the breaker is open after a failure
			s.clock.Add(time.Second)
			s.finish(s.guard, s.begin(s.guard, "granted"))
		}},
		"delayed_write": {"a refused request's write is still under way", func(s *scenario) {
			s.store.setFaults("", notApplied, down)
			s.begin(s.guard, "not_run")
			s.trace.waitForLines(7) // the background release has written the slot
			s.begin(s.other, "granted")
		}},
		"paused_holder": {"a holder is paused past the expiry of its claim", func(s *scenario) {
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
			s := newScenario(c, tc.title)
			tc.run(s)
			c.Assert(s.guard.Close(), qt.IsNil)
			c.Assert(s.other.Close(), qt.IsNil)
			got := s.trace.waitForLines(0)
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
