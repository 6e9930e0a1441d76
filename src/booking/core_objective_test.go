package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// fixedLimitCore returns a core with a fixed limit and known service times by route.
func fixedLimitCore(slots int, serviceTimes map[string]time.Duration) *Core {
	c := &Core{Slots: slots, QueueLimit: 256, QueueWait: 5 * time.Second, FixedLimit: true}
	c.Step(epoch, Health{State: HealthUp})
	for route, d := range serviceTimes {
		c.serviceTimes.add(epoch, route, d, 0)
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

// In a burst beyond the capacity, calls that can still meet their objective precede late ones. Among the former, more urgent calls come first, then those that must start earliest to meet it;
// among late calls of equal urgency, the newest comes first.
func TestCoreAdmissionOrder(t *testing.T) {
	const ms = time.Millisecond
	read := Arrive{Route: "read", Priority: 2, Timeout: 800 * ms, Objective: 300 * ms, Final: true}
	pay := Arrive{Route: "pay", Priority: 1, Timeout: 1000 * ms, Objective: 400 * ms, Final: true}
	late := Arrive{Route: "pay", Priority: 1, Timeout: 1000 * ms, Objective: 50 * ms, Final: true}
	tight := Arrive{Route: "read", Priority: 2, Timeout: 800 * ms, Objective: 250 * ms, Final: true}
	tests := map[string]struct {
		arrivals []Arrive // calls 1, 2, ...
		want     []uint64 // in the order of admission
	}{
		"urgent before earlier arrival": {[]Arrive{read, pay}, []uint64{2, 1}},
		"not late before late urgent":   {[]Arrive{late, read}, []uint64{2, 1}},
		"closest objective first":       {[]Arrive{read, tight}, []uint64{2, 1}},
		"late calls last, newest first": {[]Arrive{late, late, read}, []uint64{3, 2, 1}},
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

// A call that would miss its objective on a full server is refused at once, since another server may be free. It is queued only if it is final.
func TestCoreFinalCall(t *testing.T) {
	const ms = time.Millisecond
	c := fixedLimitCore(1, map[string]time.Duration{"read": 200 * ms})
	c.Step(epoch, Arrive{Call: 1, Route: "read", Objective: 300 * ms})
	got := c.Step(epoch, Arrive{Call: 2, Route: "read", Timeout: 800 * ms, Objective: 300 * ms})
	// The running call lasts 200 ms, and reads in time have used a tenth of the slots in usageWindow: a late call waits so much longer.
	qt.Assert(t, got, qt.DeepEquals, []Action{Refuse{Call: 2, Reason: wire.ReasonQueueFull, RetryAfter: 200 * ms * 10 / 9}})
	got = c.Step(epoch, Arrive{Call: 3, Route: "read", Timeout: 800 * ms, Objective: 300 * ms, Final: true})
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0], qt.Satisfies, func(a Action) bool { _, ok := a.(Queue); return ok })
}

// Under sustained overload, calls that cannot be answered within their timeout are refused at once instead of waiting for it.
func TestCoreOverload(t *testing.T) {
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
	qt.Assert(t, refused >= 46, qt.IsTrue, qt.Commentf("%d of 50 refused; at most four of 200 ms can be answered in 800 ms", refused))
}

// A backend server that sheds some calls although it has free slots keeps its limit if it reports its slots itself.
func TestCoreFixedLimitIgnoresShed(t *testing.T) {
	c := fixedLimitCore(9, map[string]time.Duration{"read": time.Millisecond})
	for i := range 40 {
		call := uint64(i + 1)
		now := epoch.Add(time.Duration(i) * time.Second)
		c.Step(now, Arrive{Call: call, Route: "read", Objective: time.Second})
		c.Step(now, Release{Call: call, Result: ResultShed})
	}
	qt.Assert(t, c.Load(epoch.Add(time.Minute)).Free, qt.Equals, int16(9))
}

// The expected wait of a less urgent call accounts for the share of the slots that urgent calls use.
func TestCoreExpectedWaitUrgentShare(t *testing.T) {
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
	qt.Assert(t, wait(60) > wait(0)*3/2, qt.IsTrue, qt.Commentf("%s with urgent calls, %s without", wait(60), wait(0)))
}

// An urgent short call behind long running and queued calls waits for the first of them to end. It must not be refused for the total work of all.
func TestCoreUrgentCallBehindLongCalls(t *testing.T) {
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

// In a large fleet a caller's daemon has little recent information on each server. A call that would wait longer than its patience,
// the cost of trying another server, is refused; one that finds a free slot is admitted, and one within its patience is queued.
func TestCorePatience(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		running, queued int
		patience        time.Duration
		accepted        bool
	}{
		"slot free":             {1, 0, 15 * ms, true},
		"full, short patience":  {4, 0, 15 * ms, false},
		"full, long patience":   {4, 0, 300 * ms, true},
		"full, no bound":        {4, 0, 0, true},
		"queue, short patience": {4, 3, 15 * ms, false},
		"queue, no bound":       {4, 3, 0, true},
		"queue, long patience":  {4, 3, 400 * ms, true},
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
			qt.Check(t, refused, qt.Equals, !tc.accepted)
			out := c.Step(epoch, e)
			qt.Assert(t, out, qt.HasLen, 1)
			r, refused := out[0].(Refuse)
			qt.Assert(t, refused, qt.Equals, !tc.accepted, qt.Commentf("%#v", out))
			if refused {
				qt.Assert(t, r.Reason, qt.Equals, wire.ReasonQueueFull)
				qt.Assert(t, c.LoadFor(epoch, "read", 0).Backlog > 0, qt.IsTrue, qt.Commentf("a refusal reports the expected wait to the caller's daemon"))
			}
		})
	}
}

// Reads in time that keep a server full: a late call waits only as long as it can expect to be answered, and is refused long before its deadline,
// since the calls in time that keep arriving precede it.
func TestCoreLateCallBehindSteadyLoad(t *testing.T) {
	const (
		ms       = time.Millisecond
		lateTick = 2010 // the load has been steady for usageWindow
	)
	c := fixedLimitCore(2, map[string]time.Duration{"read": 90 * ms})
	now, call, refusedAt := epoch, uint64(0), time.Duration(0)
	running := map[uint64]time.Time{}
	perform := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Admit:
				qt.Assert(t, a.Call, qt.Not(qt.Equals), uint64(1000))
				running[a.Call] = now.Add(90 * ms)
			case Refuse:
				if a.Call == 1000 {
					refusedAt = now.Sub(epoch)
					qt.Assert(t, a.RetryAfter >= 90*ms, qt.IsTrue)
				}
			}
		}
	}
	for tick := 0; refusedAt == 0; tick++ {
		qt.Assert(t, tick < lateTick+1200, qt.IsTrue, qt.Commentf("late call held until its deadline"))
		if tick%40 == 0 || tick == 1 { // slightly more reads than the two slots carry
			call++
			perform(c.Step(now, Arrive{Call: call, Route: "read", Priority: 2, Timeout: 1200 * ms, Objective: 300 * ms}))
		}
		if tick == lateTick {
			perform(c.Step(now, Arrive{Call: 1000, Route: "read", Priority: 2, Timeout: 1200 * ms, Objective: 20 * ms, Final: true}))
		}
		now = now.Add(ms)
		for call, end := range running {
			if !now.Before(end) {
				delete(running, call)
				perform(c.Step(now, Release{Call: call, Took: 90 * ms}))
			}
		}
	}
	waited := refusedAt - lateTick*ms
	qt.Assert(t, waited <= 400*ms, qt.IsTrue, qt.Commentf("refused after %v", waited)) // a third of its time
}
