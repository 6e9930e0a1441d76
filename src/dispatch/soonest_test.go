package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	ms     = time.Millisecond
	upload = 60 << 10 // bytes
)

// objectiveCore returns a core in domain "a" that knows warm servers 1 to 4: two in its own failure domain, two in another.
func objectiveCore() *Core {
	c := &Core{Settings: Settings{SharedReserve: 8, NotReadyRetry: 200 * ms}.WithDefaults(), Rand: rand.New(rand.NewPCG(1, 2))}
	e := TableChanged{Domain: "a", Region: "r"}
	for id := range uint64(4) {
		domain := "a"
		if id >= 2 {
			domain = "b"
		}
		e.Members = append(e.Members, Member{ID: id + 1, Service: "bookings", Domain: domain, Region: "r", Slots: 10, Ready: true, Age: time.Hour})
	}
	c.Step(epoch, e)
	return c
}

var epoch = time.Unix(0, 0)

var readPolicy = &Policy{Service: "host", Route: "read", Targets: []Target{{Service: "bookings", Weight: 1}}, Idempotent: true, Attempts: 2, Timeout: time.Second}

// tell has a server answer a call with a load.
func tell(c *Core, id uint64, l Load) {
	s := c.members[id]
	s.told(epoch, "read", l)
}

func arrive(c *Core, call uint64, body int64) SendAttempt {
	for _, a := range c.Step(epoch, CallArrived{Call: call, Policy: readPolicy, Remaining: time.Second, Objective: 300 * ms, BodyLength: body}) {
		if s, ok := a.(SendAttempt); ok {
			return s
		}
	}
	return SendAttempt{}
}

// Patterns of who gets the next call, by what the servers told last.
func TestSoonestServer(t *testing.T) {
	calm := Load{Free: 8, Slots: 10, ServiceTime: 100 * ms}
	full := Load{Free: -2, Slots: 10, ServiceTime: 100 * ms, Backlog: 150 * ms}
	slow := Load{Free: 8, Slots: 10, ServiceTime: 220 * ms}
	fast := Load{Free: 8, Slots: 10, ServiceTime: 60 * ms}
	tests := map[string]struct {
		loads [4]Load
		body  int64
		want  []uint64
	}{
		"equal servers: stay in the failure domain":        {[4]Load{calm, calm, calm, calm}, 0, []uint64{1, 2}},
		"slow server beside a faster one":                  {[4]Load{slow, calm, calm, calm}, 0, []uint64{2}},
		"slow failure domain":                              {[4]Load{slow, slow, calm, calm}, 0, []uint64{3, 4}},
		"much faster server elsewhere":                     {[4]Load{calm, calm, calm, fast}, 0, []uint64{4}},
		"full failure domain":                              {[4]Load{full, full, calm, calm}, 0, []uint64{3, 4}},
		"full failure domain, upload that is in time here": {[4]Load{full, full, calm, calm}, upload, []uint64{1, 2}},
		"upload that would be late here":                   {[4]Load{{Free: -9, Slots: 10, ServiceTime: 100 * ms, Backlog: 400 * ms}, {Free: -9, Slots: 10, ServiceTime: 100 * ms, Backlog: 400 * ms}, calm, calm}, upload, []uint64{3, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := objectiveCore()
			for i, l := range tc.loads {
				tell(c, uint64(i+1), l)
			}
			got := arrive(c, 1, tc.body)
			qt.Assert(t, tc.want, qt.Contains, got.Member)
			qt.Assert(t, got.Final, qt.IsFalse)
		})
	}
}

// Pattern: every server is full. The call goes round while refusals cost nothing, is then offered once as late, and is refused at once after that.
func TestRefusedByAll(t *testing.T) {
	c := objectiveCore()
	full := Load{Free: -9, Slots: 10, ServiceTime: 100 * ms, Backlog: 400 * ms}
	for id := range uint64(4) {
		tell(c, id+1, full)
	}
	s := arrive(c, 1, 0)
	sends, finals := 1, 0
	for {
		var next *SendAttempt
		for _, a := range c.Step(epoch, AttemptRefused{Call: 1, Attempt: s.Attempt, Reason: wire.ReasonQueueFull, RetryAfter: 250 * ms, Load: full}) {
			switch a := a.(type) {
			case SendAttempt:
				next = &a
			case RefuseCall:
				qt.Assert(t, a, qt.Equals, RefuseCall{Call: 1, Reason: wire.ReasonQueueFull, RetryAfter: 250 * ms})
			}
		}
		if next == nil {
			break
		}
		s = *next
		sends++
		if s.Final {
			finals++
		}
	}
	qt.Assert(t, finals, qt.Equals, 1)
	qt.Assert(t, sends <= 1+maxReplaced+1, qt.IsTrue)
	qt.Assert(t, c.services["bookings"].budget.tokens, qt.Equals, c.services["bookings"].budget.reserve, qt.Commentf("refusals beside the servers are no arrivals"))
}

// Pattern: grey servers shed part of their calls. Each further attempt may reach a server and draws on the shared budget, of which a part is left to payments.
func TestShedCallsDrawOnTheSharedBudget(t *testing.T) {
	c := objectiveCore()
	shed := func(call uint64, p *Policy) bool {
		var s SendAttempt
		for _, a := range c.Step(epoch, CallArrived{Call: call, Policy: p, Remaining: time.Second, Objective: 300 * ms}) {
			if a, ok := a.(SendAttempt); ok {
				s = a
			}
		}
		for _, a := range c.Step(epoch, AttemptRefused{Call: call, Attempt: s.Attempt, Reason: wire.ReasonShed}) {
			if _, ok := a.(SendAttempt); ok {
				return true
			}
		}
		return false
	}
	c.services["bookings"].budget.share = 0
	reads := 0
	for call := range uint64(50) {
		if shed(call+1, readPolicy) {
			reads++
		}
	}
	pay := *readPolicy
	pay.Idempotent = false
	payments := 0
	for call := range uint64(50) {
		if shed(call+100, &pay) {
			payments++
		}
	}
	qt.Assert(t, reads+payments, qt.Equals, 2, qt.Commentf("the reserve of 8 is shared by 4 daemons"))
	qt.Assert(t, payments, qt.Equals, 1)
}

// Pattern: uploads over thin links. Each VM's own backend server needs no link, unless it is late or much slower.
func TestUploadsOverThinLinks(t *testing.T) {
	calm := Load{Free: 8, Slots: 10, ServiceTime: 200 * ms}
	busy := Load{Free: 0, Slots: 10, ServiceTime: 200 * ms}
	full := Load{Free: -9, Slots: 10, ServiceTime: 200 * ms, Backlog: 400 * ms}
	tests := map[string]struct {
		own, rest Load
		body      int64
		mbps      float64
		want      []uint64
	}{
		"all calm":                   {calm, calm, upload, 5, []uint64{1}},
		"own one busier":             {busy, calm, upload, 5, []uint64{1}},
		"own one would be late":      {full, calm, upload, 5, []uint64{2}},
		"own one busier, wide link":  {busy, calm, upload, 1000, []uint64{2}},
		"size unknown":               {calm, calm, -1, 5, []uint64{1}},
		"small call, own one busier": {busy, calm, 0, 5, []uint64{2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				c := objectiveCore()
				c.Rand = rand.New(rand.NewPCG(1, seed))
				c.self, c.Settings.LinkRate = 1, tc.mbps*1e6/8
				tell(c, 1, tc.own)
				for id := uint64(2); id <= 4; id++ {
					tell(c, id, tc.rest)
				}
				for _, a := range c.Step(epoch, CallArrived{Call: 1, Policy: readPolicy, Remaining: time.Second, Objective: 800 * ms, BodyLength: tc.body}) {
					if s, ok := a.(SendAttempt); ok {
						qt.Assert(t, tc.want, qt.Contains, s.Member, qt.Commentf("seed %d", seed))
					}
				}
			}
		})
	}
}

// Pattern: a large fleet, in which what a daemon knows of a server is old. A call looks at two servers without staying in a queue, then stays.
func TestLooksAtOtherServersFirst(t *testing.T) {
	tests := map[string]struct {
		call     CallArrived
		patience []bool // whether the attempts may be sent on
	}{
		"read":         {CallArrived{Objective: 800 * ms}, []bool{true, true, false}},
		"upload":       {CallArrived{Objective: 800 * ms, BodyLength: upload}, []bool{true}},
		"no objective": {CallArrived{}, []bool{false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := objectiveCore()
			for id := range uint64(4) {
				tell(c, id+1, Load{Free: 8, Slots: 10, ServiceTime: 200 * ms})
			}
			e := tc.call
			e.Call, e.Policy, e.Remaining = 1, readPolicy, 2*time.Second
			actions := c.Step(epoch, e)
			for i, want := range tc.patience {
				var s SendAttempt
				for _, a := range actions {
					if x, ok := a.(SendAttempt); ok {
						s = x
					}
				}
				qt.Assert(t, s.Attempt, qt.Equals, i+1)
				qt.Assert(t, s.Patience > 0, qt.Equals, want)
				full := Load{Free: -2, Slots: 10, ServiceTime: 200 * ms, Backlog: 60 * ms}
				actions = c.Step(epoch, AttemptRefused{Call: 1, Attempt: s.Attempt, Reason: wire.ReasonQueueFull, Load: full})
			}
		})
	}
}

// A server that is known to be busy, and still the soonest, is worth the wait that it has told.
func TestPatienceCoversTheWaitThatIsKnown(t *testing.T) {
	c := objectiveCore()
	for id := range uint64(4) {
		tell(c, id+1, Load{Free: -3, Slots: 10, ServiceTime: 100 * ms, Backlog: 120 * ms})
	}
	s := arrive(c, 1, 0)
	qt.Assert(t, s.Patience > 120*ms, qt.IsTrue, qt.Commentf("%s", s.Patience))
}
