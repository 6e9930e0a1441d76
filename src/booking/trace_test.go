package booking

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/trace"
)

const traceDir = "../../testdata/traces"

var record = flag.Bool("record", false, "write the booking traces anew; check their outcomes before committing them")

// timedEvent is an event with its time in milliseconds.
type timedEvent struct {
	ms    int
	event Event
}

// scenario is a run of the core that is recorded as a trace.
type scenario struct {
	title    string
	settings traceSettings
	events   []timedEvent
}

// arrivals returns the arrival of n calls, numbered from firstCall, at the given time.
func arrivals(ms, firstCall, n int, priority uint8, timeout time.Duration) []timedEvent {
	var out []timedEvent
	for i := range n {
		out = append(out, timedEvent{ms, Arrive{Call: uint64(firstCall + i), Route: "read", Priority: priority, Timeout: timeout}})
	}
	return out
}

// releases returns the release of n calls, numbered from firstCall, at the given time.
func releases(ms, firstCall, n int, r Result) []timedEvent {
	var out []timedEvent
	for i := range n {
		out = append(out, timedEvent{ms, Release{Call: uint64(firstCall + i), Result: r, Took: 20 * time.Millisecond}})
	}
	return out
}

func concat(parts ...[]timedEvent) []timedEvent {
	var out []timedEvent
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

var healthUp = []timedEvent{{0, Health{State: HealthUp}}}

func scenarios() map[string]scenario {
	fourSlots := traceSettings{Slots: 4, Queue: 3, QueueWait: 500 * time.Millisecond}
	return map[string]scenario{
		"cold_start": {"a cold backend server gets a third of its slots, then one more after as many answers as it has slots",
			traceSettings{Slots: 6}, concat(healthUp, arrivals(1, 1, 3, 0, 0), releases(20, 1, 2, ResultAnswered), arrivals(21, 10, 4, 0, 0),
				releases(40, 10, 3, ResultAnswered), arrivals(41, 20, 5, 0, 0))},
		"priorities": {"reads displace photo uploads from a full queue and leave it first",
			fourSlots, concat(healthUp, arrivals(1, 1, 1, 1, 0), arrivals(2, 10, 4, 2, 0), arrivals(3, 20, 4, 0, 0),
				releases(20, 1, 1, ResultAnswered), releases(40, 20, 1, ResultAnswered))},
		"deadline": {"calls that cannot be in time are refused when they come, or as soon as their time to wait is over",
			fourSlots, concat(healthUp, arrivals(1, 1, 1, 0, 0), releases(21, 1, 1, ResultAnswered), arrivals(22, 2, 2, 0, 0),
				arrivals(23, 10, 1, 0, 10*time.Millisecond), arrivals(23, 11, 1, 0, 30*time.Millisecond),
				arrivals(23, 12, 1, 0, 70*time.Millisecond), []timedEvent{{50, Tick{}}, {73, Tick{}}})},
		"drain": {"calls that come within the grace and those queued run; later ones are refused as not run",
			fourSlots, concat(healthUp, arrivals(1, 1, 2, 0, 0), []timedEvent{{2, Drain{Grace: 50 * time.Millisecond}}}, arrivals(30, 3, 1, 0, 0),
				arrivals(60, 4, 1, 0, 0), releases(70, 1, 1, ResultAnswered), releases(80, 2, 1, ResultAnswered))},
		"shed": {"a backend server that sheds gets fewer calls at once, and more again as it answers",
			traceSettings{Slots: 12}, concat(healthUp, arrivals(1, 1, 4, 0, 0), releases(20, 1, 4, ResultAnswered), arrivals(21, 5, 5, 0, 0),
				releases(40, 5, 5, ResultShed), arrivals(41, 20, 5, 0, 0), releases(60, 20, 4, ResultAnswered), arrivals(61, 30, 6, 0, 0))},
		"down": {"queued calls are refused at once when the backend server goes down, and calls come back slowly",
			fourSlots, concat(healthUp, arrivals(1, 1, 3, 0, 0), []timedEvent{{10, Health{State: HealthDown}}}, arrivals(11, 9, 1, 0, 0),
				[]timedEvent{{500, Health{State: HealthUp}}}, releases(510, 1, 1, ResultFailed), arrivals(511, 10, 2, 0, 0))},
	}
}

// TestRecordTraces writes the traces if -record is set.
func TestRecordTraces(t *testing.T) {
	if !*record {
		t.Skip("-record is not set")
	}
	for name, s := range scenarios() {
		settings, err := json.Marshal(s.settings)
		qt.Assert(t, err, qt.IsNil)
		var b bytes.Buffer
		r := &trace.Recorder{W: &b, Header: trace.Header{Core: CoreName, Title: s.title, Settings: settings}}
		c := &Core{Slots: s.settings.Slots, QueueLimit: s.settings.Queue, QueueWait: s.settings.QueueWait}
		for _, e := range s.events {
			now := epoch.Add(time.Duration(e.ms) * time.Millisecond)
			out, err := trace.Outcomes(c.Step(now, e.event))
			qt.Assert(t, err, qt.IsNil)
			r.Record(now, e.event, out)
		}
		qt.Assert(t, r.Err(), qt.IsNil)
		qt.Assert(t, os.MkdirAll(traceDir, 0o755), qt.IsNil)
		qt.Assert(t, os.WriteFile(filepath.Join(traceDir, "booking_"+name+".jsonl"), b.Bytes(), 0o644), qt.IsNil)
	}
}

// Replaying a stored trace yields the recorded actions.
func TestReplayTraces(t *testing.T) {
	names, err := filepath.Glob(filepath.Join(traceDir, "booking_*.jsonl"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(names) >= len(scenarios()), qt.IsTrue)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			f, err := os.Open(name)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = f.Close() }()
			tr, err := trace.Read(f)
			qt.Assert(t, err, qt.IsNil)
			core, err := NewReplay(tr.Header)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, tr.Run(core), qt.IsNil)
		})
	}
}

// Replaying a trace recorded by a live server yields the recorded actions.
func TestRecordedRunReplays(t *testing.T) {
	b := startBackend(t, &standin.Backend{Slots: 4, Connections: 6, Work: 2 * time.Millisecond})
	var out bytes.Buffer
	s := &Server{
		Backend: settings.Backend{Addr: addrOf(b.Listener), Slots: 4, Connections: 6, HealthPath: "/health"},
		Service: "bookings", Self: 7, Record: &trace.Recorder{W: &out},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	waitUntil(t, "healthy", s.Healthy)
	serveConcurrently(t, s, 100, func(i int) *fakeInbound {
		in := newInbound("GET", "/diary", fmt.Sprint(i), nil, 0)
		in.head.Priority = uint8(i % 3)
		in.head.TimeoutMS = int64(10 + i)
		return in
	})
	s.Drain()
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, s.Record.Err(), qt.IsNil)
	tr, err := trace.Read(&out)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(tr.Entries) >= 100, qt.IsTrue)
	core, err := NewReplay(tr.Header)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tr.Run(core), qt.IsNil)
}
