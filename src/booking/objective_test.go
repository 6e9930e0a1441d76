package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// fixedLimitCore returns a core for a backend server that tells its slots, with known service times.
func fixedLimitCore(slots int, services map[string]time.Duration) *Core {
	c := &Core{Slots: slots, QueueLimit: 256, QueueWait: 5 * time.Second, FixedLimit: true}
	c.Step(epoch, Health{State: HealthUp})
	for route, d := range services {
		c.serviceTimes.add(epoch, route, d)
	}
	return c
}

func admitted(actions []Action) []uint64 {
	var out []uint64
	for _, a := range actions {
		if a, ok := a.(Admit); ok {
			out = append(out, a.Call)
		}
	}
	return out
}

// Pattern: a burst beyond the capacity. The order of service is by what can still be in time, then by urgency.
func TestBurstOrder(t *testing.T) {
	const ms = time.Millisecond
	read := Arrive{Route: "read", Priority: 2, Timeout: 800 * ms, Objective: 300 * ms, Final: true}
	pay := Arrive{Route: "pay", Priority: 1, Timeout: 1000 * ms, Objective: 400 * ms, Final: true}
	overdue := Arrive{Route: "pay", Priority: 1, Timeout: 1000 * ms, Objective: 50 * ms, Final: true}
	short := Arrive{Route: "read", Priority: 2, Timeout: 800 * ms, Objective: 250 * ms, Final: true}
	tests := map[string]struct {
		arrivals []Arrive // calls 1, 2, ...
		want     []uint64 // in the order of admission
	}{
		"urgent before earlier":         {[]Arrive{read, pay}, []uint64{2, 1}},
		"in time before late urgent":    {[]Arrive{overdue, read}, []uint64{2, 1}},
		"closest objective first":       {[]Arrive{read, short}, []uint64{2, 1}},
		"late ones last, newest first":  {[]Arrive{overdue, overdue, read}, []uint64{3, 2, 1}},
		"arrival order for equal calls": {[]Arrive{read, read}, []uint64{1, 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := fixedLimitCore(1, map[string]time.Duration{"read": 90 * ms, "pay": 100 * ms})
			c.Step(epoch, Arrive{Call: 100, Route: "read", Objective: 300 * ms})
			for i, a := range tc.arrivals {
				a.Call = uint64(i + 1)
				c.Step(epoch, a)
			}
			running, got := uint64(100), []uint64{}
			for range tc.arrivals {
				next := admitted(c.Step(epoch.Add(ms), Release{Call: running, Result: ResultFailed}))
				qt.Assert(t, next, qt.HasLen, 1)
				running = next[0]
				got = append(got, running)
			}
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
}

// Pattern: one server is full while another may be free. A call that would be late here is refused at once, and taken as late only when it has nowhere else to go.
func TestFullServerSendsElsewhere(t *testing.T) {
	const ms = time.Millisecond
	c := fixedLimitCore(1, map[string]time.Duration{"read": 200 * ms})
	c.Step(epoch, Arrive{Call: 1, Route: "read", Objective: 300 * ms})
	got := c.Step(epoch, Arrive{Call: 2, Route: "read", Timeout: 800 * ms, Objective: 300 * ms})
	qt.Assert(t, got, qt.DeepEquals, []Action{Refuse{Call: 2, Reason: wire.ReasonQueueFull, RetryAfter: 200 * ms}})
	got = c.Step(epoch, Arrive{Call: 3, Route: "read", Timeout: 800 * ms, Objective: 300 * ms, Final: true})
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0], qt.Satisfies, func(a Action) bool { _, ok := a.(Queue); return ok })
}

// Pattern: sustained overload. A call that cannot be served in its time never waits for it.
func TestOverloadRefusesAtOnce(t *testing.T) {
	const ms = time.Millisecond
	c := fixedLimitCore(1, map[string]time.Duration{"read": 200 * ms})
	refused := 0
	for i := range 50 {
		for _, a := range c.Step(epoch, Arrive{Call: uint64(i + 1), Route: "read", Timeout: 800 * ms, Objective: 300 * ms, Final: true}) {
			if r, ok := a.(Refuse); ok {
				refused++
				qt.Assert(t, r.RetryAfter >= 200*ms, qt.IsTrue)
			}
		}
	}
	qt.Assert(t, refused >= 46, qt.IsTrue, qt.Commentf("%d of 50 refused; three can be answered in 800 ms", refused))
}

// Pattern: a backend server sheds a part of its calls although it has free slots. Its slots stay in use.
func TestGreyServerKeepsItsSlots(t *testing.T) {
	c := fixedLimitCore(9, map[string]time.Duration{"read": time.Millisecond})
	for i := range 40 {
		call := uint64(i + 1)
		now := epoch.Add(time.Duration(i) * time.Second)
		c.Step(now, Arrive{Call: call, Route: "read", Objective: time.Second})
		c.Step(now, Release{Call: call, Result: ResultShed})
	}
	qt.Assert(t, c.Load(epoch.Add(time.Minute)).Free, qt.Equals, int16(9))
}

// Pattern: urgent calls take most of the slots. A less urgent one is told the wait that they leave it.
func TestUrgentShareLengthensTheWait(t *testing.T) {
	const ms = time.Millisecond
	wait := func(urgent int) time.Duration {
		c := fixedLimitCore(4, map[string]time.Duration{"read": 100 * ms, "pay": 100 * ms})
		now := epoch
		for i := range urgent {
			call := uint64(1000 + i)
			now = now.Add(25 * ms)
			c.Step(now, Arrive{Call: call, Route: "pay", Priority: 1, Objective: time.Second})
			c.Step(now, Release{Call: call, Result: ResultFailed})
		}
		for i := range 6 {
			c.Step(now, Arrive{Call: uint64(i + 1), Route: "read", Priority: 2, Objective: time.Second, Timeout: 2 * time.Second})
		}
		return c.expectedWait(now, 2, false)
	}
	qt.Assert(t, wait(60) > wait(0)*3/2, qt.IsTrue, qt.Commentf("%s beside urgent calls, %s without", wait(60), wait(0)))
}

// Pattern: long calls hold every slot and wait in the queue. An urgent short call waits for the first of them to end, and is not refused for the work of all.
func TestUrgentCallBehindLongOnes(t *testing.T) {
	const ms = time.Millisecond
	c := fixedLimitCore(9, map[string]time.Duration{"history": 500 * ms, "price": 22 * ms})
	for i := range 13 {
		c.Step(epoch.Add(time.Duration(i)*40*ms), Arrive{Call: uint64(i + 1), Route: "history", Priority: 2, Timeout: 2500 * ms, Objective: 1000 * ms})
	}
	now := epoch.Add(500 * ms)
	qt.Assert(t, len(c.running), qt.Equals, 9)
	qt.Assert(t, c.queue.size > 0, qt.IsTrue)
	got := c.Step(now, Arrive{Call: 100, Route: "price", Priority: 1, Timeout: 250 * ms, Objective: 150 * ms})
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0], qt.Satisfies, func(a Action) bool { _, ok := a.(Queue); return ok }, qt.Commentf("%v", got))
}

// Pattern: a large fleet, in which each caller's daemon knows little of a server. A call that would wait longer than another look costs is sent on; one that finds a slot, or is worth the wait, stays.
func TestCallThatIsBetterOffElsewhere(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		running, queued int
		patience        time.Duration
		taken           bool
	}{
		"slot free":        {1, 0, 15 * ms, true},
		"full, impatient":  {4, 0, 15 * ms, false},
		"full, patient":    {4, 0, 300 * ms, true},
		"full, no bound":   {4, 0, 0, true},
		"queue, impatient": {4, 3, 15 * ms, false},
		"queue, no bound":  {4, 3, 0, true},
		"queue, patient":   {4, 3, 400 * ms, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := fixedLimitCore(4, map[string]time.Duration{"read": 200 * ms})
			id := uint64(10)
			for range tc.running + tc.queued {
				c.Step(epoch, Arrive{Call: id, Route: "read", Timeout: 2000 * ms, Objective: 800 * ms})
				id++
			}
			e := Arrive{Call: 1, Route: "read", Timeout: 2000 * ms, Objective: 800 * ms, Patience: tc.patience}
			_, refused := c.WouldRefuse(epoch, e)
			qt.Check(t, refused, qt.Equals, !tc.taken)
			out := c.Step(epoch, e)
			qt.Assert(t, out, qt.HasLen, 1)
			r, refused := out[0].(Refuse)
			qt.Assert(t, refused, qt.Equals, !tc.taken, qt.Commentf("%#v", out))
			if refused {
				qt.Assert(t, r.Reason, qt.Equals, wire.ReasonQueueFull)
				qt.Assert(t, c.LoadFor(epoch, "read", 0).Backlog > 0, qt.IsTrue, qt.Commentf("the caller's daemon learns the wait"))
			}
		})
	}
}
