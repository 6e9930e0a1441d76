package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/wire"
)

// checkedAttempt is an attempt as the property test's model sees it.
type checkedAttempt struct{ live, notRun bool }

// checkedCall is a call as the property test's model sees it.
type checkedCall struct {
	idempotent bool
	attempts   []checkedAttempt
	answer     int // attempt accepted, 0 for none
	over       bool
}

// model steps a core and checks its promises.
type model struct {
	t     *rapid.T
	core  *Core
	now   time.Time
	table map[uint64]Member
	calls map[uint64]*checkedCall
	sent  int
}

func newModel(t *rapid.T) *model {
	seed := rapid.Int64Range(0, 1<<20).Draw(t, "seed")
	return &model{
		t: t, now: time.Unix(0, 0), table: map[uint64]Member{}, calls: map[uint64]*checkedCall{},
		core: &Core{Settings: Settings{}.WithDefaults(), Rand: NewRand(seed)},
	}
}

func (m *model) step(e Event) {
	for _, a := range m.core.Step(m.now, e) {
		m.check(a)
	}
	for name, svc := range m.core.services {
		m.checkAside(name, svc)
	}
}

func (m *model) check(a Action) {
	switch a := a.(type) {
	case SendAttempt:
		m.checkSend(a)
	case CancelAttempt:
		m.calls[a.Call].attempts[a.Attempt-1].live = false
	case AcceptAnswer:
		m.finish(a.Call).answer = a.Attempt
	case RefuseCall:
		m.checkRefusal(a)
	}
}

func (m *model) checkSend(a SendAttempt) {
	c := m.calls[a.Call]
	if c.over {
		m.t.Fatalf("call %d is sent after its end", a.Call)
	}
	if to, ok := m.table[a.Member]; !ok || to.State == wire.StateLeaving || to.State == wire.StateDead {
		m.t.Fatalf("call %d is sent to member %d, which is leaving or not in the table", a.Call, a.Member)
	}
	for i, x := range c.attempts {
		if !c.idempotent && !x.notRun {
			m.t.Fatalf("call %d runs once only but is sent again although attempt %d may have run", a.Call, i+1)
		}
	}
	c.attempts = append(c.attempts, checkedAttempt{live: true})
	m.sent++
	s := m.core.Settings
	if retries := float64(m.sent - len(m.calls)); retries > s.RetryShare*float64(len(m.calls))+s.RetryReserve*2 {
		m.t.Fatalf("%d attempts for %d calls", m.sent, len(m.calls))
	}
}

func (m *model) checkRefusal(a RefuseCall) {
	ran := false
	for _, x := range m.finish(a.Call).attempts {
		ran = ran || !x.notRun
	}
	if a.MayHaveRun != ran {
		m.t.Fatalf("call %d is refused with may_have_run %t although its attempts say %t", a.Call, a.MayHaveRun, ran)
	}
}

func (m *model) finish(id uint64) *checkedCall {
	c := m.calls[id]
	if c.over {
		m.t.Fatalf("call %d ends twice", id)
	}
	c.over = true
	return c
}

func (m *model) checkAside(name string, svc *service) {
	usable, aside := svc.countAside(m.now)
	if float64(aside) > m.core.Settings.MaxEjectedShare*float64(usable) {
		m.t.Fatalf("%d of %d members of %s are set aside", aside, usable, name)
	}
	for _, s := range svc.servers {
		if s.inFlight < 0 {
			m.t.Fatalf("member %d has %d calls in flight", s.ID, s.inFlight)
		}
	}
}

// changeTable draws a table in which members come, go and change state.
func (m *model) changeTable() {
	n := rapid.IntRange(1, 8).Draw(m.t, "members")
	first := uint64(rapid.IntRange(1, 4).Draw(m.t, "first"))
	e := TableChanged{Domain: "mid-a"}
	m.table = map[uint64]Member{}
	for i := range n {
		x := Member{ID: first + uint64(i), Service: "bookings", Slots: 12, Age: time.Hour}
		x.Domain = rapid.SampledFrom([]string{"mid-a", "mid-b"}).Draw(m.t, "domain")
		x.State = rapid.SampledFrom([]wire.MemberState{wire.StateAlive, wire.StateAlive, wire.StateSuspect, wire.StateLeaving}).Draw(m.t, "state")
		x.Ready = rapid.IntRange(0, 5).Draw(m.t, "ready") > 0
		e.Members = append(e.Members, x)
		m.table[x.ID] = x
	}
	m.step(e)
}

func (m *model) arrive() {
	id := uint64(len(m.calls) + 1)
	c := &checkedCall{idempotent: rapid.Bool().Draw(m.t, "idempotent")}
	m.calls[id] = c
	p := &Policy{Service: "bookings", Route: "diary", Targets: []Target{{Service: "bookings", Weight: 1}}, Idempotent: c.idempotent}
	p.Attempts = rapid.IntRange(1, 4).Draw(m.t, "attempts")
	p.HedgeAfter = time.Duration(rapid.IntRange(0, 1).Draw(m.t, "hedge")) * 50 * time.Millisecond
	m.step(CallArrived{Call: id, Policy: p, Remaining: 5 * time.Second, RetryLayer: rapid.IntRange(0, 3).Draw(m.t, "layer") == 0})
}

// advance draws an event for an attempt of an open call, or for one that has long been over.
func (m *model) advance() {
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
	switch rapid.IntRange(0, 5).Draw(m.t, "event") {
	case 0:
		m.step(AttemptAnswered{Call: id, Attempt: n, Status: rapid.SampledFrom([]int{200, 200, 500, 503}).Draw(m.t, "status"), Load: Load{Free: 3, Slots: 12}})
	case 1, 2:
		may := rapid.Bool().Draw(m.t, "may")
		if a.live && !c.over {
			a.live, a.notRun = false, !may
		}
		m.step(AttemptRefused{Call: id, Attempt: n, MayHaveRun: may, Reason: wire.RefusalReason(rapid.IntRange(1, 12).Draw(m.t, "reason"))})
	case 3:
		m.step(TimerFired{Call: id, Attempt: n, Timer: rapid.SampledFrom([]TimerKind{TimerAttempt, TimerHedge}).Draw(m.t, "timer")})
	case 4:
		if c.answer == n {
			m.step(AttemptEnded{Call: id, Attempt: n, Cut: rapid.Bool().Draw(m.t, "cut")})
		}
	case 5:
		c.over = true
		m.step(CallerGone{Call: id})
	}
}

// end gives up every call and checks that the core holds nothing of them.
func (m *model) end() {
	for id, c := range m.calls {
		c.over = true
		m.step(CallerGone{Call: id})
	}
	left := fmt.Sprint(len(m.core.calls), len(m.core.perRoute))
	for _, s := range m.core.members {
		left += fmt.Sprint(" ", s.inFlight)
	}
	for _, r := range left {
		if r != '0' && r != ' ' {
			m.t.Fatalf("calls, routes and attempts that the core still holds: %s", left)
		}
	}
}

func TestCoreKeepsItsPromisesUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.changeTable()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				m.changeTable()
			case 1, 2, 3:
				m.arrive()
			default:
				m.advance()
			}
		}
		m.end()
	})
}
