package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/wire"
)

// modelAttempt is the model's state of an attempt.
type modelAttempt struct{ active, notRun bool }

// modelCall is the model's state of a call.
type modelCall struct {
	idempotent bool
	attempts   []modelAttempt
	answer     int // number of the accepted attempt, 0 for none
	ended      bool
}

// model drives a core with random events and checks its invariants.
type model struct {
	t     *rapid.T
	core  *Core
	now   time.Time
	table map[uint64]Member
	calls map[uint64]*modelCall
	sent  int
}

func newModel(t *rapid.T) *model {
	seed := rapid.Int64Range(0, 1<<20).Draw(t, "seed")
	return &model{
		t: t, now: time.Unix(0, 0), table: map[uint64]Member{}, calls: map[uint64]*modelCall{},
		core: &Core{Settings: Settings{}.WithDefaults(), Rand: NewRand(seed)},
	}
}

func (m *model) step(e Event) {
	for _, a := range m.core.Step(m.now, e) {
		m.check(a)
	}
	for name, svc := range m.core.services {
		m.checkServers(name, svc)
	}
}

func (m *model) check(a Action) {
	switch a := a.(type) {
	case SendAttempt:
		m.checkSend(a)
	case CancelAttempt:
		m.calls[a.Call].attempts[a.Attempt-1].active = false
	case AcceptAnswer:
		m.endCall(a.Call).answer = a.Attempt
	case RefuseCall:
		m.checkRefusal(a)
	}
}

// checkSend checks that a call in flight is sent to an eligible member, that one that may run only once is not sent again if it may have run, and that retries stay within the budget.
func (m *model) checkSend(a SendAttempt) {
	c := m.calls[a.Call]
	if c.ended {
		m.t.Fatalf("call %d was sent after its end", a.Call)
	}
	if to, ok := m.table[a.Member]; !ok || to.State == wire.StateLeaving || to.State == wire.StateDead {
		m.t.Fatalf("call %d was sent to member %d, which is leaving, dead or not in the table", a.Call, a.Member)
	}
	for i, attempt := range c.attempts {
		if !c.idempotent && !attempt.notRun {
			m.t.Fatalf("call %d may run only once but was sent again although attempt %d may have run", a.Call, i+1)
		}
	}
	c.attempts = append(c.attempts, modelAttempt{active: true})
	m.sent++
	s := m.core.Settings
	// The budget starts with RetryBurst/2 tokens; the bound leaves room above that.
	if retries := float64(m.sent - len(m.calls)); retries > s.RetryShare*float64(len(m.calls))+s.RetryBurst*2 {
		m.t.Fatalf("%d attempts for %d calls exceed the retry budget", m.sent, len(m.calls))
	}
}

// checkRefusal checks that may_have_run is set if, and only if, an attempt may have run.
func (m *model) checkRefusal(a RefuseCall) {
	mayHaveRun := false
	for _, attempt := range m.endCall(a.Call).attempts {
		mayHaveRun = mayHaveRun || !attempt.notRun
	}
	if a.MayHaveRun != mayHaveRun {
		m.t.Fatalf("call %d was refused with may_have_run %t, want %t from its attempts", a.Call, a.MayHaveRun, mayHaveRun)
	}
}

// endCall marks a call as ended and checks that it was not before.
func (m *model) endCall(id uint64) *modelCall {
	c := m.calls[id]
	if c.ended {
		m.t.Fatalf("call %d ended twice", id)
	}
	c.ended = true
	return c
}

// checkServers checks the share of ejected members and that no count of calls in flight is negative.
func (m *model) checkServers(name string, svc *service) {
	usable, ejected := svc.countEjected(m.now, false)
	if float64(ejected) > m.core.Settings.MaxEjectedShare*float64(usable) {
		m.t.Fatalf("%d of %d usable members of %s are ejected, more than the allowed share", ejected, usable, name)
	}
	for _, s := range svc.servers {
		if s.inFlight < 0 {
			m.t.Fatalf("member %d has %d calls in flight", s.ID, s.inFlight)
		}
	}
}

// changeTable draws a table with some members added, removed or changed.
func (m *model) changeTable() {
	n := rapid.IntRange(1, 8).Draw(m.t, "members")
	first := uint64(rapid.IntRange(1, 4).Draw(m.t, "first"))
	e := TableChanged{Domain: "mid-a"}
	m.table = map[uint64]Member{}
	for i := range n {
		member := Member{ID: first + uint64(i), Service: "bookings", Slots: 12, Age: time.Hour}
		member.Domain = rapid.SampledFrom([]string{"mid-a", "mid-b"}).Draw(m.t, "domain")
		member.State = rapid.SampledFrom([]wire.MemberState{wire.StateAlive, wire.StateAlive, wire.StateSuspect, wire.StateLeaving}).Draw(m.t, "state")
		member.Ready = rapid.IntRange(0, 5).Draw(m.t, "ready") > 0
		e.Members = append(e.Members, member)
		m.table[member.ID] = member
	}
	m.step(e)
}

func (m *model) drawCall() {
	id := uint64(len(m.calls) + 1)
	c := &modelCall{idempotent: rapid.Bool().Draw(m.t, "idempotent")}
	m.calls[id] = c
	p := &Policy{Service: "bookings", Route: "diary", Targets: []Target{{Service: "bookings", Weight: 1}}, Idempotent: c.idempotent}
	p.Attempts = rapid.IntRange(1, 4).Draw(m.t, "attempts")
	p.HedgeAfter = time.Duration(rapid.IntRange(0, 1).Draw(m.t, "hedge")) * 50 * time.Millisecond
	m.step(CallArrived{Call: id, Policy: p, Remaining: 5 * time.Second, ParentRetries: rapid.IntRange(0, 3).Draw(m.t, "layer") == 0})
}

// drawAttemptEvent draws an event for an attempt of any call, also of one that has ended.
func (m *model) drawAttemptEvent() {
	if len(m.calls) == 0 {
		return
	}
	id := uint64(rapid.IntRange(1, len(m.calls)).Draw(m.t, "call"))
	c := m.calls[id]
	if len(c.attempts) == 0 {
		return
	}
	n := rapid.IntRange(1, len(c.attempts)).Draw(m.t, "attempt")
	a := &c.attempts[n-1]
	switch rapid.IntRange(0, 6).Draw(m.t, "event") {
	case 0:
		m.step(AttemptAnswered{Call: id, Attempt: n, Status: rapid.SampledFrom([]int{200, 200, 500, 503}).Draw(m.t, "status"), Load: Load{Free: 3, Slots: 12}})
	case 1, 2:
		mayHaveRun := rapid.Bool().Draw(m.t, "may")
		if a.active && !c.ended {
			a.active, a.notRun = false, !mayHaveRun
		}
		m.step(AttemptRefused{Call: id, Attempt: n, MayHaveRun: mayHaveRun, Reason: wire.RefusalReason(rapid.IntRange(1, 12).Draw(m.t, "reason"))})
	case 3:
		m.step(TimerFired{Call: id, Attempt: n, Timer: rapid.SampledFrom([]TimerKind{TimerAttempt, TimerHedge}).Draw(m.t, "timer")})
	case 4:
		if c.answer == n {
			m.step(AttemptEnded{Call: id, Attempt: n, Truncated: rapid.Bool().Draw(m.t, "cut")})
		}
	case 5:
		c.ended = true
		m.step(CallerGone{Call: id})
	case 6:
		m.step(AttemptDoubted{Call: id, Attempt: n})
	}
}

// endAll ends every call and checks that the core holds no state of calls.
func (m *model) endAll() {
	for id, c := range m.calls {
		c.ended = true
		m.step(CallerGone{Call: id})
	}
	remaining := fmt.Sprint(len(m.core.calls), len(m.core.inFlightByRoute))
	for _, s := range m.core.members {
		remaining += fmt.Sprint(" ", s.inFlight)
	}
	for _, r := range remaining {
		if r != '0' && r != ' ' {
			m.t.Fatalf("core still holds state of ended calls: calls, routes and attempts in flight by member: %s", remaining)
		}
	}
}

// TestCoreInvariants checks, for random sequences of events, that each call ends once, that calls are sent only to eligible members, that a call that may run only once is not sent again after it may have run, that refusals state whether the call may have run, that retries stay within the budget and ejections within their share, and that no state of ended calls remains.
func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.changeTable()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				m.changeTable()
			case 1, 2, 3:
				m.drawCall()
			default:
				m.drawAttemptEvent()
			}
		}
		m.endAll()
	})
}
