package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// A backend server that has said in an answer that it is leaving must get no more calls, whatever
// later tables say of it; only a later start of it may.
func TestCoreAnswerOfLeavingServer(t *testing.T) {
	const leavingID, otherID, restartedID = 1, 2, 3
	start := time.UnixMilli(1_000_000)
	leaving := Member{ID: leavingID, Service: "bookings", Domain: "mid-a", Slots: 4, Ready: true, Addr: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: start}
	other := Member{ID: otherID, Service: "bookings", Domain: "mid-a", Slots: 4, Ready: true, Addr: netip.MustParseAddrPort("10.0.0.2:80"), StartedAt: start}
	change := func(m Member, f func(m *Member)) Member {
		f(&m)
		return m
	}
	tests := map[string]struct {
		members []Member // of the table after the answer
		want    map[uint64]bool
	}{
		"same table":                    {[]Member{leaving, other}, map[uint64]bool{otherID: true}},
		"not ready and ready again":     {[]Member{change(leaving, func(m *Member) { m.Ready = false }), other}, map[uint64]bool{otherID: true}},
		"its daemon has restarted":      {[]Member{change(leaving, func(m *Member) { m.ID = restartedID }), other}, map[uint64]bool{otherID: true}},
		"its start is not reported yet": {[]Member{change(leaving, func(m *Member) { m.ID, m.StartedAt = restartedID, time.Time{} }), other}, map[uint64]bool{otherID: true}},
		"the only one":                  {[]Member{leaving}, map[uint64]bool{}},
		"restarted, same daemon":        {[]Member{change(leaving, func(m *Member) { m.StartedAt = start.Add(time.Second) })}, map[uint64]bool{leavingID: true}},
		"restarted with its daemon":     {[]Member{change(leaving, func(m *Member) { m.ID, m.StartedAt = restartedID, start.Add(time.Second) })}, map[uint64]bool{restartedID: true}},
		"another server at its address": {[]Member{change(other, func(m *Member) { m.Addr, m.StartedAt = leaving.Addr, start.Add(time.Second) })}, map[uint64]bool{otherID: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := start.Add(time.Minute)
			core := &Core{Settings: Settings{}.WithDefaults(), Rand: rand.New(rand.NewPCG(1, 0))}
			policy := &Policy{Service: "bookings", Route: "r", Targets: []Target{{Service: "bookings", Weight: 1}}, Timeout: time.Second}
			call := uint64(0)
			send := func() (uint64, bool) {
				call++
				now = now.Add(10 * time.Millisecond)
				for _, a := range core.Step(now, CallArrived{Call: call, Policy: policy, Remaining: time.Second}) {
					switch a := a.(type) {
					case SendAttempt:
						return a.Member, true
					case RefuseCall:
						c.Check(a.Reason, qt.Equals, wire.ReasonNotReady)
						c.Check(a.MayHaveRun, qt.IsFalse)
					}
				}
				return 0, false
			}
			answer := func(leaving bool) {
				core.Step(now, AttemptAnswered{Call: call, Attempt: 1, Status: 200, Leaving: leaving})
				core.Step(now, AttemptEnded{Call: call, Attempt: 1})
			}
			core.Step(now, TableChanged{Version: 1, Domain: "mid-a", Members: []Member{leaving}})
			_, sent := send()
			c.Assert(sent, qt.IsTrue)
			answer(true)
			core.Step(now, TableChanged{Version: 2, Domain: "mid-a", Members: tc.members})
			core.Step(now, TableChanged{Version: 3, Domain: "mid-a", Members: tc.members})
			got := map[uint64]bool{}
			for range 20 {
				if id, sent := send(); sent {
					got[id] = true
					answer(false)
				}
			}
			c.Check(got, qt.DeepEquals, tc.want)
		})
	}
}

// An answer that is read after its backend server has been replaced must not count for the one that
// replaced it.
func TestCoreLateAnswerOfLeavingServer(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_000_000)
	core := &Core{Settings: Settings{}.WithDefaults(), Rand: rand.New(rand.NewPCG(1, 0))}
	policy := &Policy{Service: "bookings", Route: "r", Targets: []Target{{Service: "bookings", Weight: 1}}, Timeout: time.Second}
	m := Member{ID: 1, Service: "bookings", Domain: "mid-a", Slots: 4, Ready: true, Addr: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: now.Add(-time.Minute)}
	core.Step(now, TableChanged{Version: 1, Domain: "mid-a", Members: []Member{m}})
	core.Step(now, CallArrived{Call: 1, Policy: policy, Remaining: time.Second})
	m.StartedAt = now
	core.Step(now, TableChanged{Version: 2, Domain: "mid-a", Members: []Member{m}})
	core.Step(now, AttemptAnswered{Call: 1, Attempt: 1, Status: 200, Leaving: true})
	core.Step(now, AttemptEnded{Call: 1, Attempt: 1})
	_, refused := core.Step(now, CallArrived{Call: 2, Policy: policy, Remaining: time.Second})[0].(RefuseCall)
	c.Check(refused, qt.IsFalse)
}

// What is kept of leaving servers is bounded: the earliest start is dropped first.
func TestLeavingServersBounded(t *testing.T) {
	c := qt.New(t)
	var l leavingServers
	member := func(i int) Member {
		return Member{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80), StartedAt: time.UnixMilli(int64(i + 1))}
	}
	for i := range maxLeavingServers + 10 {
		m := member(i)
		l.add(time.UnixMilli(0), m.Addr, m.StartedAt)
	}
	c.Check(len(l), qt.Equals, maxLeavingServers)
	c.Check(l.contains(member(0)), qt.IsFalse)
	c.Check(l.contains(member(maxLeavingServers+9)), qt.IsTrue)
}
