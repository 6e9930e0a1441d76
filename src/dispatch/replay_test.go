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

const traces = "../../testdata/traces"

// scene is a recorded run of the core against fake servers.
type scene struct {
	title string
	spoil func(s []*fakeServer)
	setup func(y *yard)
	check func(c *qt.C, y *yard) // what the outcomes must amount to before they are stated
}

func noneRefused(c *qt.C, y *yard) { c.Check(y.refused, qt.HasLen, 0) }

var scenes = map[string]scene{
	"slow_server": {
		title: "one server of six is slow and claims free slots: it is set aside after its first answers",
		spoil: func(s []*fakeServer) {
			s[0].takes *= 20
			s[0].lies = true
		},
		setup: func(y *yard) { y.policy.Locality = "any" },
		check: func(c *qt.C, y *yard) {
			noneRefused(c, y)
			c.Check(y.sentTo[1] < 25, qt.IsTrue, qt.Commentf("%v", y.sentTo))
		},
	},
	"half_dies": {
		title: "three servers of six die at once: calls that have not run go elsewhere, none is refused",
		spoil: func([]*fakeServer) {},
		setup: func(y *yard) {
			y.after(100*time.Millisecond, func() { y.servers[1].dead, y.servers[3].dead, y.servers[5].dead = true, true, true })
		},
		check: noneRefused,
	},
	"domain_lost": {
		title: "the own failure domain is lost: calls go to the others, none is refused",
		spoil: func([]*fakeServer) {},
		setup: func(y *yard) {
			y.after(100*time.Millisecond, func() { y.servers[1].dead, y.servers[2].dead = true, true })
		},
		check: func(c *qt.C, y *yard) {
			noneRefused(c, y)
			c.Check(y.reasons[ChoiceOtherDomain] > 0, qt.IsTrue)
			c.Check(y.sentTo[3]+y.sentTo[4]+y.sentTo[5]+y.sentTo[6] >= 95, qt.IsTrue, qt.Commentf("%v", y.sentTo))
		},
	},
	"payment_never_answered": {
		title: "servers never answer: a call that runs once only is sent once and ends as may have run",
		spoil: func(s []*fakeServer) {
			for _, x := range s {
				x.silent = true
			}
		},
		setup: func(y *yard) { y.policy.Idempotent, y.policy.Timeout = false, 50*time.Millisecond },
		check: func(c *qt.C, y *yard) {
			c.Check(y.attempts, qt.Equals, len(y.started))
			c.Check(y.refused, qt.DeepEquals, map[wire.RefusalReason]int{wire.ReasonTimeout: len(y.started)})
		},
	},
	"hedged_reads": {
		title: "reads that are late are sent to a second server, within the budget",
		spoil: func(s []*fakeServer) { s[0].silent = true },
		setup: func(y *yard) { y.policy.HedgeAfter, y.policy.Timeout = 20*time.Millisecond, time.Second },
		check: func(c *qt.C, y *yard) {
			c.Check(y.percentile(0.97) < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%s", y.took))
			c.Check(y.attempts <= len(y.started)*11/10+5, qt.IsTrue)
			noneRefused(c, y)
		},
	},
}

func TestRecordedScenes(t *testing.T) {
	for name, s := range scenes {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var buf bytes.Buffer
			servers := fakeServers(6, 10*time.Millisecond)
			s.spoil(servers)
			y := newYard(Settings{}, servers...)
			y.record = &trace.Recorder{W: &buf, Header: trace.Header{Core: CoreName, Title: s.title, Seed: 1}}
			s.setup(y)
			y.run(120, 4*time.Millisecond)
			s.check(c, y)
			c.Assert(y.record.Err(), qt.IsNil)
			path := filepath.Join(traces, "dispatch_"+name+".jsonl")
			if *recordTraces {
				c.Assert(os.MkdirAll(traces, 0o755), qt.IsNil)
				c.Assert(os.WriteFile(path, buf.Bytes(), 0o644), qt.IsNil)
			}
			stated, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			tr, err := trace.Read(bytes.NewReader(stated))
			c.Assert(err, qt.IsNil)
			core, err := NewReplay(tr.Header)
			c.Assert(err, qt.IsNil)
			c.Assert(tr.Run(core), qt.IsNil)
		})
	}
}

func TestReplayRefusesUnknownEvents(t *testing.T) {
	c := qt.New(t)
	core, err := NewReplay(trace.Header{Core: CoreName})
	c.Assert(err, qt.IsNil)
	_, err = core.Replay(time.Time{}, "colour_changed", nil)
	c.Assert(err, qt.ErrorMatches, `usage: colour_changed: event cannot be read: kind "colour_changed" is unknown; see docs/TRACES.md.*`)
}
