package relay

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
)

var recordTraces = flag.Bool("record", false, "write the traces of the relay core anew")

const traceDir = "../../testdata/traces"

// timedEvent is an event and its delay after the previous event.
type timedEvent struct {
	after time.Duration
	event Event
}

// traceTests are the recorded traces; want lists the kinds of the actions of each of the last steps, separated by |, with - for none; earlier steps are not checked.
var traceTests = map[string]struct {
	title string
	steps []timedEvent
	want  string
}{
	"relay_push_crossed": {
		title: "pushes that cross, repeat and come late: version order decides, and each is passed on",
		steps: afterBootstrap(
			timedEvent{0, PushReceived{From: 2, Base: 5, Version: 7, Subtree: []uint64{3}}},
			timedEvent{0, Taken{Version: 7, Source: SourcePush, Peer: 2}},
			timedEvent{time.Millisecond, PushReceived{From: 4, Base: 5, Version: 6, Subtree: []uint64{8}}},
			timedEvent{time.Millisecond, PushReceived{From: 2, Base: 5, Version: 7}},
			timedEvent{time.Millisecond, PushReceived{From: 2, Base: 8, Version: 9}},
			timedEvent{time.Millisecond, Pulled{Peer: 2, Version: 9}},
			timedEvent{0, Taken{Version: 9, Source: SourcePull, Peer: 2}},
		),
		want: "push apply|-|push|-|pull|apply|-",
	},
	"relay_refused_version": {
		title: "a version that this daemon cannot take: the old one stays, the subtree is served, the next version is taken",
		steps: afterBootstrap(
			timedEvent{0, PushReceived{From: 2, Base: 5, Version: 6, Subtree: []uint64{3, 4}}},
			timedEvent{0, Refused{Version: 6, Source: SourcePush, Peer: 2}},
			timedEvent{time.Second, PeerAhead{Peer: 3, Version: 6}},
			timedEvent{time.Second, Tick{}},
			timedEvent{time.Second, PushReceived{From: 2, Base: 6, Version: 7}},
			timedEvent{time.Millisecond, Pulled{Peer: 2, Version: 7}},
			timedEvent{0, Taken{Version: 7, Source: SourcePull, Peer: 2}},
		),
		want: "push push apply|-|-|-|pull|apply|-",
	},
	"relay_members_die": {
		title: "children that cannot be reached are replaced by the next in their part of the tree and tried once more at its end",
		steps: afterBootstrap(
			timedEvent{0, PushReceived{From: 2, Base: 5, Version: 6, Subtree: []uint64{3, 4, 7, 8, 9, 21, 22, 23, 24, 25, 26, 27, 28, 29}}},
			timedEvent{0, Taken{Version: 6, Source: SourcePush, Peer: 2}},
			timedEvent{200 * time.Millisecond, PushFailed{ID: 6}},
			timedEvent{200 * time.Millisecond, PushFailed{ID: 13}},
			timedEvent{200 * time.Millisecond, PushFailed{ID: 14}},
			timedEvent{time.Millisecond, PushDone{ID: 1}},
		),
		want: strings.Repeat("push ", 12) + "apply|-|push|push|-|-",
	},
	"relay_store_restored": {
		title: "the store holds an older version than this daemon serves: keep serving, report it once",
		steps: afterBootstrap(
			timedEvent{time.Minute, HeadSeen{Revision: 40, Version: 3}},
			timedEvent{time.Second, HeadSeen{Revision: 41, Version: 3}},
			timedEvent{time.Second, PushReceived{From: 2, Base: 0, Version: 3}},
			timedEvent{time.Second, HeadSeen{Revision: 42, Version: 4}},
		),
		want: "store_behind|-|-|store_behind",
	},
	"relay_start_store_down": {
		title: "a daemon starts while the store is down: peers are asked, the highest version is pulled and comes into force after versions under way had time",
		steps: []timedEvent{
			{0, Members{Members: traceMembers}},
			{time.Millisecond, Asked{Peer: 2, Version: 4}},
			{time.Millisecond, Asked{Peer: 3, Failed: true}},
			{time.Millisecond, Asked{Peer: 11, Version: 5}},
			{time.Millisecond, Asked{Peer: 4, Version: 5}},
			{time.Millisecond, Pulled{Peer: 2, Alternative: 4, RetryAfter: 300 * time.Millisecond}},
			{time.Second, Tick{}},
			{time.Millisecond, Pulled{Peer: 4, Version: 5}},
			{0, Taken{Version: 5, Source: SourcePull, Peer: 4}},
			{100 * time.Millisecond, HeadFailed{}},
			{2 * time.Second, Tick{}},
		},
		want: "ask ask ask|pull|ask|-|-|-|read_head pull|apply|-|-|read_head open",
	},
	"relay_reader_paused": {
		title: "a reader is paused past its lease and then acts on what it saw: its push is harmless, the lease is asked for again, the head read anew",
		steps: afterReaderStart(
			timedEvent{time.Second, HeadSeen{Revision: 6, Version: 6}},
			timedEvent{time.Minute, Taken{Version: 6, Source: SourceStore}}, // the daemon was paused
			timedEvent{time.Millisecond, HeadSeen{Revision: 9, Version: 9}},
			timedEvent{time.Millisecond, LeaseAnswered{}},
			timedEvent{time.Millisecond, LeaseAnswered{}},
			timedEvent{time.Millisecond, PushReceived{From: 2, Base: 6, Version: 9}},
			timedEvent{0, Taken{Version: 9, Source: SourcePush, Peer: 2}},
		),
		want: "watch_head fetch|push push push push push push push push renew|watch_head fetch|grant|grant|apply|-",
	},
	"relay_store_down": {
		title: "the store is down: a reader backs off, a version that another failure domain holds is pulled and pushed on, and the head is read when the store is back",
		steps: afterReaderStart(
			timedEvent{time.Second, HeadFailed{}},
			timedEvent{300 * time.Millisecond, Tick{}},
			timedEvent{time.Millisecond, HeadFailed{}},
			timedEvent{time.Second, Tick{}},
			timedEvent{time.Millisecond, HeadFailed{}},
			timedEvent{time.Millisecond, PeerAhead{Peer: 11, Version: 6}},
			timedEvent{300 * time.Millisecond, Tick{}},
			timedEvent{time.Millisecond, Pulled{Peer: 11, Version: 6}},
			timedEvent{0, Taken{Version: 6, Source: SourcePull, Peer: 11}},
			timedEvent{time.Second, Tick{}},
			timedEvent{time.Millisecond, HeadSeen{Revision: 7, Version: 7}},
			timedEvent{time.Millisecond, Taken{Version: 7, Source: SourceStore}},
		),
		want: "-|read_head|-|read_head|-|-|pull|apply|-|read_head push push push push push push push push|watch_head fetch|push push push push push push push push",
	},
}

// traceMembers are the members 1 to 9 of mid-a and 11 to 13 of mid-b.
var traceMembers = []Member{
	{ID: 1, Domain: "mid-a"}, {ID: 2, Domain: "mid-a"}, {ID: 3, Domain: "mid-a"}, {ID: 4, Domain: "mid-a"}, {ID: 5, Domain: "mid-a"},
	{ID: 6, Domain: "mid-a"}, {ID: 7, Domain: "mid-a"}, {ID: 8, Domain: "mid-a"}, {ID: 9, Domain: "mid-a"},
	{ID: 11, Domain: "mid-b"}, {ID: 12, Domain: "mid-b"}, {ID: 13, Domain: "mid-b"},
}

// bootstrapSteps returns the events that bring version 5 into force.
func bootstrapSteps() []timedEvent {
	return []timedEvent{
		{0, Members{Members: traceMembers}},
		{time.Second, HeadSeen{Revision: 5, Version: 5}},
		{0, Asked{Peer: 2, Version: 5}}, {0, Asked{Peer: 3, Version: 5}}, {0, Asked{Peer: 4, Version: 5}},
		{0, Pulled{Peer: 4, Version: 5}},
		{0, Taken{Version: 5, Source: SourcePull, Peer: 4}},
	}
}

// afterBootstrap returns the steps preceded by bootstrapSteps.
func afterBootstrap(steps ...timedEvent) []timedEvent { return append(bootstrapSteps(), steps...) }

// afterReaderStart returns the steps preceded by events that make the daemon a reader with version 5 in force and a watch in progress.
func afterReaderStart(steps ...timedEvent) []timedEvent {
	return append(append(bootstrapSteps(), timedEvent{time.Second, LeaseAnswered{Held: true}}, timedEvent{0, HeadSeen{Revision: 5, Version: 5}}, timedEvent{time.Second, Tick{}}), steps...)
}

// tracedMember returns the member whose core a trace runs: the first in rank for traces of a reader, otherwise one that is not the first; never 2, 3 or 4, which are peers in bootstrapSteps.
func tracedMember(name string) uint64 {
	reader := strings.Contains(name, "reader") || name == "relay_store_down"
	for _, m := range traceMembers[:9] {
		if (rankOf(m.ID, "mid-a", traceMembers) == 0) == reader && m.ID != 2 && m.ID != 3 && m.ID != 4 {
			return m.ID
		}
	}
	return 0
}

func TestTraces(t *testing.T) {
	for name, test := range traceTests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			recorded, got := record(c, name, test.title, test.steps)
			skipped := len(test.steps) - strings.Count(test.want, "|") - 1
			c.Assert(strings.Join(got[skipped:], "|"), qt.Equals, test.want)
			file := filepath.Join(traceDir, name+".jsonl")
			if *recordTraces {
				c.Assert(os.MkdirAll(traceDir, 0o755), qt.IsNil)
				c.Assert(os.WriteFile(file, recorded, 0o644), qt.IsNil)
			}
			f, err := os.Open(file)
			c.Assert(err, qt.IsNil)
			defer f.Close()
			tr, err := trace.Read(f)
			c.Assert(err, qt.IsNil)
			core, err := NewReplay(tr.Header)
			c.Assert(err, qt.IsNil)
			c.Assert(tr.Run(core), qt.IsNil)
		})
	}
}

// record runs the steps through a core and returns the trace and, for each step, the kinds of its actions.
func record(c *qt.C, name, title string, steps []timedEvent) ([]byte, []string) {
	s := ReplaySettings{Self: tracedMember(name), Domain: "mid-a", Profile: settings.ProfileFast}
	raw, err := json.Marshal(s)
	c.Assert(err, qt.IsNil)
	var b bytes.Buffer
	r := &trace.Recorder{W: &b, Header: trace.Header{Core: CoreName, Title: title, Seed: 7, Settings: raw}}
	core := newCore(s, 7)
	now := time.Unix(0, 0).UTC()
	var got []string
	for _, step := range steps {
		now = now.Add(step.after)
		actions := core.Step(now, step.event)
		outcome, err := trace.Outcomes(actions)
		c.Assert(err, qt.IsNil)
		r.Record(now, step.event, outcome)
		names := strings.Join(kinds(actions), " ")
		if names == "" {
			names = "-"
		}
		got = append(got, names)
	}
	c.Assert(r.Err(), qt.IsNil)
	return b.Bytes(), got
}
