package booking

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/wire"
)

var epoch = time.Unix(0, 0)

// warmCore returns a core that is up, with the limit at its maximum and a known service time.
func warmCore(slots, queue int, serviceTime time.Duration) *Core {
	c := &Core{Slots: slots, QueueLimit: queue, QueueWait: time.Second}
	c.Step(epoch, Health{State: HealthUp})
	c.limit = slots
	c.serviceTimes.add(epoch, "read", serviceTime, 0)
	return c
}

func fillSlots(c *Core, n int) {
	for i := range n {
		c.Step(epoch, Arrive{Call: uint64(1000 + i), Route: "read"})
	}
}

func TestCoreArrive(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		before func(c *Core)
		event  Arrive
		want   []Action
	}{
		"free slot": {event: Arrive{Call: 1}, want: []Action{Admit{Call: 1}}},
		"no free slot": {
			before: func(c *Core) { fillSlots(c, 2) }, event: Arrive{Call: 1},
			want: []Action{Queue{Call: 1, Wait: time.Second}},
		},
		"deadline shorter than the service time": {
			event: Arrive{Call: 1, Route: "read", Timeout: 9 * ms},
			want:  []Action{Refuse{Call: 1, Reason: wire.ReasonDeadline, RetryAfter: minRetryAfter}},
		},
		"deadline shorter than the wait": {
			before: func(c *Core) { fillSlots(c, 4) }, event: Arrive{Call: 1, Route: "read", Timeout: 20 * ms},
			want: []Action{Refuse{Call: 1, Reason: wire.ReasonDeadline, RetryAfter: 15 * ms}},
		},
		"deadline that can be met": {
			before: func(c *Core) { fillSlots(c, 3) }, event: Arrive{Call: 1, Route: "read", Timeout: 50 * ms},
			want: []Action{Queue{Call: 1, Wait: 40 * ms}},
		},
		"full queue": {
			before: func(c *Core) { fillSlots(c, 6) }, event: Arrive{Call: 1},
			want: []Action{Refuse{Call: 1, Reason: wire.ReasonQueueFull, RetryAfter: 25 * ms}},
		},
		"full queue of lower priority": {
			before: func(c *Core) {
				fillSlots(c, 2)
				for i := range 4 {
					c.Step(epoch, Arrive{Call: uint64(i + 10), Priority: 2})
				}
			},
			event: Arrive{Call: 1, Priority: 0},
			want: []Action{
				Refuse{Call: 13, Reason: wire.ReasonQueueFull, RetryAfter: 20 * ms},
				Queue{Call: 1, Wait: time.Second},
			},
		},
		"draining": {
			before: func(c *Core) { c.Step(epoch, Drain{}) }, event: Arrive{Call: 1},
			want: []Action{Refuse{Call: 1, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter}},
		},
		"draining within the grace period": {
			before: func(c *Core) { c.Step(epoch, Drain{Grace: time.Second}) }, event: Arrive{Call: 1},
			want: []Action{Admit{Call: 1}},
		},
		"second drain does not postpone the first": {
			before: func(c *Core) { c.Step(epoch, Drain{}); c.Step(epoch, Drain{Grace: time.Second}) }, event: Arrive{Call: 1},
			want: []Action{Refuse{Call: 1, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter}},
		},
		"draining since its body began to arrive": {
			before: func(c *Core) { c.Step(epoch, Drain{}) }, event: Arrive{Call: 1, Waited: ms},
			want: []Action{Admit{Call: 1}},
		},
		"backend server reports draining, since its body began to arrive": {
			before: func(c *Core) { c.Step(epoch, Health{State: HealthDraining}) }, event: Arrive{Call: 1, Waited: ms},
			want: []Action{Refuse{Call: 1, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter}},
		},
		"backend server reports draining": {
			before: func(c *Core) { c.Step(epoch, Health{State: HealthDraining}) }, event: Arrive{Call: 1},
			want: []Action{Refuse{Call: 1, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter}},
		},
		"backend server down": {
			before: func(c *Core) { c.Step(epoch, Health{State: HealthDown}) }, event: Arrive{Call: 1},
			want: []Action{Refuse{Call: 1, Reason: wire.ReasonNotReady, RetryAfter: notReadyRetryAfter}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := warmCore(2, 4, 10*ms)
			if test.before != nil {
				test.before(c)
			}
			qt.Assert(t, c.Step(epoch, test.event), qt.DeepEquals, test.want)
		})
	}
}

// Calls of higher priority leave the queue first.
func TestCoreQueueOrderByPriority(t *testing.T) {
	c := warmCore(1, 4, time.Millisecond)
	fillSlots(c, 1)
	c.Step(epoch, Arrive{Call: 1, Priority: 2})
	c.Step(epoch, Arrive{Call: 2, Priority: 0})
	c.Step(epoch, Arrive{Call: 3, Priority: 0})
	for _, want := range []uint64{2, 3, 1} {
		var running uint64
		for running = range c.running {
		}
		qt.Assert(t, c.Step(epoch, Release{Call: running}), qt.DeepEquals, []Action{Admit{Call: want}})
	}
}

// A drain does not stop queued calls from running, nor does it set a bound to their wait as a leave does.
func TestCoreDrainKeepsQueue(t *testing.T) {
	c := warmCore(1, 4, time.Millisecond)
	fillSlots(c, 1)
	c.Step(epoch, Arrive{Call: 1})
	c.Step(epoch, Drain{})
	_, needsTick := c.NextTick(epoch)
	qt.Check(t, needsTick, qt.IsFalse)
	qt.Assert(t, c.Step(epoch.Add(900*time.Millisecond), Release{Call: 1000}), qt.DeepEquals, []Action{Admit{Call: 1}})
}

// When the backend server goes down, queued calls are refused at once.
func TestCoreDownRefusesQueue(t *testing.T) {
	c := warmCore(1, 4, time.Millisecond)
	fillSlots(c, 1)
	c.Step(epoch, Arrive{Call: 1})
	qt.Assert(t, c.Step(epoch, Health{State: HealthDown}), qt.DeepEquals,
		[]Action{Refuse{Call: 1, Reason: wire.ReasonNotReady, RetryAfter: notReadyRetryAfter}})
}

func TestCoreLimitAdapts(t *testing.T) {
	c := &Core{Slots: 12}
	c.Step(epoch, Health{State: HealthUp})
	qt.Assert(t, c.Load(epoch).Free, qt.Equals, int16(4))
	now := epoch
	run := func(r Result) {
		now = now.Add(time.Second)
		c.Step(now, Arrive{Call: 1})
		c.Step(now, Release{Call: 1, Result: r, Took: time.Millisecond})
	}
	for range 4 + 5 + 6 + 7 + 8 + 9 + 10 + 11 {
		run(ResultAnswered)
	}
	qt.Assert(t, c.Load(now).Free, qt.Equals, int16(12))
	run(ResultShed)
	qt.Assert(t, c.Load(now).Free, qt.Equals, int16(9))
	for range 50 {
		run(ResultShed)
	}
	qt.Assert(t, c.Load(now).Free, qt.Equals, int16(1))
}

// TestCoreProperties checks the core against a model under random events: the slots are never exceeded, no call is admitted twice or refused while it runs,
// no call is queued while a slot is free or after its longest wait, the queue stays within QueueLimit, and each refusal has a Retry-After.
func TestCoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		m := &coreModel{t: t, core: &Core{Slots: slots, QueueLimit: rapid.IntRange(0, 6).Draw(t, "queue"), QueueWait: time.Second},
			slots: slots, now: epoch, queued: map[uint64]time.Time{}, running: map[uint64]bool{}}
		m.step(Health{State: HealthUp})
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  m.arrive,
			"release": m.release,
			"abandon": m.abandon,
			"advance": m.advance,
			"health":  m.health,
			"leave":   m.leave,
			"":        m.check, // invariants, checked by rapid after each action
		})
	})
}

// coreModel is the expected state of a Core: the calls that run and, with their expiry, those that are queued.
type coreModel struct {
	t        *rapid.T
	core     *Core
	slots    int
	now      time.Time
	lastCall uint64
	queued   map[uint64]time.Time
	running  map[uint64]bool
	leaveBy  time.Time // zero while the backend server is not leaving
}

func (m *coreModel) step(e Event) {
	for _, a := range m.core.Step(m.now, e) {
		switch a := a.(type) {
		case Admit:
			if !m.leaveBy.IsZero() && !m.now.Before(m.leaveBy) {
				m.t.Fatalf("call %d was admitted after the backend server may have ended", a.Call)
			}
			if m.running[a.Call] {
				m.t.Fatalf("call %d was admitted twice", a.Call)
			}
			delete(m.queued, a.Call)
			m.running[a.Call] = true
		case Queue:
			m.queued[a.Call] = m.now.Add(a.Wait)
		case Refuse:
			if m.running[a.Call] {
				m.t.Fatalf("call %d was refused while it runs", a.Call)
			}
			if a.RetryAfter <= 0 {
				m.t.Fatalf("call %d was refused without a Retry-After", a.Call)
			}
			delete(m.queued, a.Call)
		}
	}
}

func (m *coreModel) arrive(t *rapid.T) {
	m.lastCall++
	m.step(Arrive{Call: m.lastCall, Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), Priority: rapid.Uint8Range(0, 3).Draw(t, "priority"),
		Timeout: time.Duration(rapid.IntRange(0, 2000).Draw(t, "timeout")) * time.Millisecond})
}

func (m *coreModel) release(t *rapid.T) {
	for _, call := range slices.Sorted(maps.Keys(m.running)) {
		delete(m.running, call)
		m.step(Release{Call: call, Result: Result(rapid.IntRange(0, 3).Draw(t, "result")),
			Took: time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond})
		return
	}
}

func (m *coreModel) abandon(*rapid.T) {
	for _, call := range slices.Sorted(maps.Keys(m.queued)) {
		delete(m.queued, call)
		m.step(Abandon{Call: call})
		return
	}
}

func (m *coreModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
	m.step(Tick{})
}

func (m *coreModel) leave(t *rapid.T) {
	within := time.Duration(rapid.IntRange(0, 2000).Draw(t, "within")) * time.Millisecond
	if by := m.now.Add(within); m.leaveBy.IsZero() || by.Before(m.leaveBy) {
		m.leaveBy = by
	}
	m.step(Leave{Within: within})
	if rapid.Bool().Draw(t, "replaced") {
		m.leaveBy = time.Time{}
		m.step(Resume{})
	}
}

func (m *coreModel) health(t *rapid.T) {
	m.step(Health{State: HealthState(rapid.IntRange(0, 3).Draw(t, "state"))})
	m.step(Health{State: HealthUp})
}

func (m *coreModel) check(t *rapid.T) {
	if len(m.running) > m.slots || m.core.InFlight() != len(m.running) {
		t.Fatalf("model: %d calls running on %d slots; core: %d in flight", len(m.running), m.slots, m.core.InFlight())
	}
	if len(m.queued) != m.core.queue.size || m.core.queue.size > m.core.QueueLimit {
		t.Fatalf("model: %d calls queued; core: %d of at most %d", len(m.queued), m.core.queue.size, m.core.QueueLimit)
	}
	for call, expiry := range m.queued {
		if !m.now.Before(expiry) {
			t.Fatalf("call %d is still queued after its longest wait", call)
		}
	}
	if len(m.queued) > 0 && len(m.running) < m.core.limit {
		t.Fatalf("%d calls are queued while slots are free", len(m.queued))
	}
}
