package booking

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/wire"
)

func TestParseSpeed(t *testing.T) {
	tests := map[string]struct {
		value string
		want  int // 0 for none
	}{
		"three figures":   {"3,1,9", 0},
		"four figures":    {"3,1,9,250", 250},
		"spaces":          {"3, 1, 9, 70", 70},
		"fraction":        {"3,1,9,99.6", 100},
		"further figures": {"3,1,9,120,8", 120},
		"zero":            {"3,1,9,0", 0},
		"no number":       {"3,1,9,NaN", 0},
		"empty":           {"", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := parseSpeed([]byte(tc.value))
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}

// Noisy neighbours: a VM that is slow for a while. The learned service time stays that of the usual
// speed, the expected wait follows the current one, and a call whose sender knew of a shorter wait is
// refused. Without this, the estimate is
// wrong by the factor for many calls after each change.
func TestCoreSpeed(t *testing.T) {
	const ms = time.Millisecond
	c := qt.New(t)
	core := fixedLimitCore(1, map[string]time.Duration{"read": 100 * ms})
	read := Arrive{Call: 1, Route: "read", Timeout: time.Second, Objective: 600 * ms}
	c.Check(core.SpeedPercent(epoch), qt.Equals, int32(0))
	core.Step(epoch, Speed{Percent: 250})
	c.Check(core.SpeedPercent(epoch), qt.Equals, int32(250))
	c.Check(core.Step(epoch, read), qt.DeepEquals, []Action{Admit{Call: 1}})
	wait := core.expectedWait(epoch, 0, false)
	c.Check(wait > 235*ms && wait <= 250*ms, qt.IsTrue, qt.Commentf("%s", wait))
	read.Call, read.Patience = 2, 150*ms // its sender expected a wait of at most 100 ms
	refusals := core.Step(epoch, read)
	c.Assert(refusals, qt.HasLen, 1)
	c.Check(refusals[0], qt.Satisfies, func(a Action) bool { r, ok := a.(Refuse); return ok && r.Reason == wire.ReasonQueueFull })
	now := epoch
	for range 100 {
		now = now.Add(250 * ms)
		core.Step(now, Speed{Percent: 250})
		core.Step(now, Release{Call: 1, Result: ResultAnswered, Took: 250 * ms})
		core.Step(now, Arrive{Call: 1, Route: "read"})
	}
	usual := core.usualServiceTime("read")
	c.Check(usual > 95*ms && usual < 105*ms, qt.IsTrue, qt.Commentf("%s", usual))
	c.Check(core.LoadFor(now, "read", 0).Service, qt.Equals, int32(usual.Milliseconds()))
}

// The speed in the load header of an answer reaches the caller's agent. The health path is asked
// for it only while a call runs and no answer has told it lately: each request to it is priced.
func TestServerSpeed(t *testing.T) {
	c := qt.New(t)
	b := startRawBackend(t)
	// The server closes each connection, so that without a word of it the health path may be asked on
	// one that is closing.
	const ok = "HTTP/1.1 200 OK\r\nX-Load: 1,0,4,250\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	b.answer = func(string) string { return ok }
	b.health = func() string { return "X-Instance: i-1\r\nX-Load: 0,0,4,70\r\n" }
	names := header.Default()
	names.Load, names.Instance = "X-Load", "X-Instance"
	now := time.Now()
	s := &Server{UsesHeartbeats: true, Headers: names, Backend: settings.Backend{Addr: addrOf(b.listener), Slots: 4, Connections: 8, HealthPath: "/health"}, Service: "bookings", Self: 7, Now: func() time.Time { return now }}
	s.SetInstance("i-1", 4, true)
	b.answer = func(string) string { return ok }
	in := newInbound("GET", "/diary", "1", nil, 0).serve(t, s)
	c.Assert(in.reply, qt.IsNotNil)
	c.Check(in.reply.SpeedPercent, qt.Equals, int32(250))
	now = now.Add(2 * speedCheckAge)
	c.Check(s.needsCheck(), qt.IsFalse)
	s.step(Arrive{Call: 1000, Route: "/diary"})
	c.Check(s.needsCheck(), qt.IsTrue)
	s.updateHealth(context.Background())
	c.Check(s.needsCheck(), qt.IsFalse)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Check(s.core.SpeedPercent(now), qt.Equals, int32(70))
}
