package roster

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/trace"
)

var recordTraces = flag.Bool("record", false, "write the traces of the roster core anew")

const traceDir = "../../testdata/traces"

// traceTests are runs of six hosts in three failure domains, recorded at the first host. The expected summary lists the
// changes other than joins, by port, state and reason, and the alarms.
var traceTests = map[string]struct {
	title    string
	simulate func(n *simNetwork)
	want     string
}{
	"roster_paused_member": {
		title: "a member that stands still is suspected, dies, and comes back by refuting its death",
		want:  "1004 suspect news, 1004 dead timed_out, alarm domain-1 1, 1004 alive came_back",
		simulate: func(n *simNetwork) {
			n.hosts[4].pausedUntil = n.now.Add(9 * time.Second)
			n.run(12 * time.Second)
		},
	},
	"roster_own_pause": {
		title: "this daemon stands still: it condemns nobody, and refutes its own death",
		want:  "",
		simulate: func(n *simNetwork) {
			n.hosts[0].pausedUntil = n.now.Add(30 * time.Second)
			n.run(36 * time.Second)
		},
	},
	"roster_cut_healed": {
		title: "a failure domain cut off: one alarm; after the cut its members come back",
		want:  "1001 suspect news, 1004 suspect no_answer, 1001 dead timed_out, alarm domain-1 1, 1004 dead timed_out, 1001 alive came_back, 1004 alive came_back",
		simulate: func(n *simNetwork) {
			n.partitioned = isolateDomain("domain-1")
			n.run(12 * time.Second)
			n.partitioned = func(_, _ *simHost) bool { return false }
			n.run(6 * time.Second)
		},
	},
	"roster_replaced_vm": {
		title: "a VM replaced under the same address is a new member, and the old one is dead at once",
		want:  "1003 dead replaced",
		simulate: func(n *simNetwork) {
			n.hosts[3].up = false
			n.start(1003, 0, true)
			n.run(4 * time.Second)
		},
	},
	"roster_leaving": {
		title: "a member announces that it leaves, and then its end",
		want:  "1002 leaving news, 1002 dead left",
		simulate: func(n *simNetwork) {
			n.step(n.hosts[2], LeaveAsked{})
			n.run(2 * time.Second)
			n.step(n.hosts[2], StopAsked{})
			n.hosts[2].up = false
			n.run(2 * time.Second)
		},
	},
}

// recordRun simulates a run and returns the trace of the first host.
func recordRun(c *qt.C, title string, simulate func(n *simNetwork)) []byte {
	n := newSimNetwork(3)
	for i := range 6 {
		n.start(1000+i, i%3, true)
	}
	var buf bytes.Buffer
	core := n.hosts[0].core
	b, err := json.Marshal(coreSettings{Self: core.Self, Timing: core.Timing, HasStore: true})
	c.Assert(err, qt.IsNil)
	n.recorder = &trace.Recorder{W: &buf, Header: trace.Header{Core: CoreName, Title: title, Seed: int64(core.Self.ID), Settings: b}}
	c.Assert(n.settle(settleLimit) >= 0, qt.IsTrue)
	n.run(2 * time.Second)
	simulate(n)
	c.Assert(n.recorder.Err(), qt.IsNil)
	return buf.Bytes()
}

// TestTraces replays the recorded traces, and records them again first if -record is set.
func TestTraces(t *testing.T) {
	for name, tc := range traceTests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(traceDir, name+".jsonl")
			if *recordTraces {
				c.Assert(os.WriteFile(file, recordRun(c, tc.title, tc.simulate), 0o644), qt.IsNil)
			}
			b, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			tr, err := trace.Read(bytes.NewReader(b))
			c.Assert(err, qt.IsNil)
			c.Check(summary(c, tr), qt.Equals, tc.want)
			core, err := NewReplay(tr.Header)
			c.Assert(err, qt.IsNil)
			c.Assert(tr.Run(core), qt.IsNil)
		})
	}
}

// summary returns the changes, other than joins, and the alarms in a trace.
func summary(c *qt.C, tr *trace.Trace) string {
	var out []string
	for _, e := range tr.Entries {
		for _, o := range e.Outcome {
			switch o.Kind {
			case "changed":
				var a Changed
				c.Assert(json.Unmarshal(o.Action, &a), qt.IsNil)
				if a.Reason != ReasonJoined {
					out = append(out, fmt.Sprintf("%d %s %s", a.Addr.Port(), [...]string{"alive", "suspect", "leaving", "dead"}[a.State], a.Reason))
				}
			case "alarm":
				var a Alarm
				c.Assert(json.Unmarshal(o.Action, &a), qt.IsNil)
				out = append(out, fmt.Sprintf("alarm %s %d", a.Domain, a.Died))
			}
		}
	}
	return strings.Join(out, ", ")
}
