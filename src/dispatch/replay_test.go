package dispatch

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

var recordTraces = flag.Bool("record", false, "write the traces of the dispatch core anew")

const tracesDir = "../../testdata/traces"

// scenario is a simulation whose trace is recorded in tracesDir.
type scenario struct {
	title   string
	degrade func(s []*fakeServer)
	setup   func(sim *simulation)
	check   func(c *qt.C, sim *simulation) // checks the outcome before the trace is recorded or compared
}

func checkNoneRefused(c *qt.C, sim *simulation) { c.Check(sim.refused, qt.HasLen, 0) }

var scenarios = map[string]scenario{
	"slow_server": {
		title: "one server of six is slow and claims free slots: it is set aside after its first answers",
		degrade: func(s []*fakeServer) {
			s[0].serviceTime *= 20
			s[0].reportsAllFree = true
		},
		setup: func(sim *simulation) { sim.policy.Locality = "any" },
		check: func(c *qt.C, sim *simulation) {
			checkNoneRefused(c, sim)
			c.Check(sim.sentTo[1] < 25, qt.IsTrue, qt.Commentf("%v", sim.sentTo))
		},
	},
	"half_dies": {
		title:   "three servers of six die at once: calls that have not run go elsewhere, none is refused",
		degrade: func([]*fakeServer) {},
		setup: func(sim *simulation) {
			sim.schedule(100*time.Millisecond, func() {
				sim.servers[1].refusesConnections, sim.servers[3].refusesConnections, sim.servers[5].refusesConnections = true, true, true
			})
		},
		check: checkNoneRefused,
	},
	"domain_lost": {
		title:   "the own failure domain is lost: calls go to the others, none is refused",
		degrade: func([]*fakeServer) {},
		setup: func(sim *simulation) {
			sim.schedule(100*time.Millisecond, func() { sim.servers[1].refusesConnections, sim.servers[2].refusesConnections = true, true })
		},
		check: func(c *qt.C, sim *simulation) {
			checkNoneRefused(c, sim)
			c.Check(sim.reasons[ChoiceOtherDomain] > 0, qt.IsTrue)
			c.Check(sim.sentTo[3]+sim.sentTo[4]+sim.sentTo[5]+sim.sentTo[6] >= 95, qt.IsTrue, qt.Commentf("%v", sim.sentTo))
		},
	},
	"payment_never_answered": {
		title: "servers never answer: a call that runs once only is sent once and ends as may have run",
		degrade: func(s []*fakeServer) {
			for _, x := range s {
				x.neverAnswers = true
			}
		},
		setup: func(sim *simulation) { sim.policy.Idempotent, sim.policy.Timeout = false, 50*time.Millisecond },
		check: func(c *qt.C, sim *simulation) {
			c.Check(sim.attempts, qt.Equals, len(sim.arrivedAt))
			c.Check(sim.refused, qt.DeepEquals, map[wire.RefusalReason]int{wire.ReasonTimeout: len(sim.arrivedAt)})
		},
	},
	"hedged_reads": {
		title:   "reads that are late are sent to a second server, within the budget",
		degrade: func(s []*fakeServer) { s[0].neverAnswers = true },
		setup:   func(sim *simulation) { sim.policy.HedgeAfter, sim.policy.Timeout = 20*time.Millisecond, time.Second },
		check: func(c *qt.C, sim *simulation) {
			c.Check(sim.percentile(0.97) < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%s", sim.latencies))
			c.Check(sim.attempts <= len(sim.arrivedAt)*11/10+5, qt.IsTrue)
			checkNoneRefused(c, sim)
		},
	},
}

// TestReplayRecordedTraces runs each scenario and replays its recorded trace; with -record it first writes the trace anew.
func TestReplayRecordedTraces(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var buf bytes.Buffer
			servers := fakeServers(6, 10*time.Millisecond)
			s.degrade(servers)
			sim := newSimulation(Settings{}, servers...)
			sim.recorder = &trace.Recorder{W: &buf, Header: trace.Header{Core: CoreName, Title: s.title, Seed: 1}}
			s.setup(sim)
			sim.run(120, 4*time.Millisecond)
			s.check(c, sim)
			c.Assert(sim.recorder.Err(), qt.IsNil)
			path := filepath.Join(tracesDir, "dispatch_"+name+".jsonl")
			if *recordTraces {
				c.Assert(os.MkdirAll(tracesDir, 0o755), qt.IsNil)
				c.Assert(os.WriteFile(path, buf.Bytes(), 0o644), qt.IsNil)
			}
			recorded, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			tr, err := trace.Read(bytes.NewReader(recorded))
			c.Assert(err, qt.IsNil)
			core, err := NewReplay(tr.Header)
			c.Assert(err, qt.IsNil)
			c.Assert(tr.Run(core), qt.IsNil)
		})
	}
}

func TestReplayUnknownEvent(t *testing.T) {
	c := qt.New(t)
	core, err := NewReplay(trace.Header{Core: CoreName})
	c.Assert(err, qt.IsNil)
	_, err = core.Replay(time.Time{}, "colour_changed", nil)
	c.Assert(err, qt.ErrorMatches, `usage: colour_changed: event cannot be read: kind "colour_changed" is unknown; see docs/TRACES.md.*`)
}
