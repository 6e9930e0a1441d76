package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	ms         = time.Millisecond
	uploadSize = 60 << 10 // bytes
)

// newObjectiveCore returns a core in failure domain "a" with servers 1 to 4 past slow start: 1 and 2 in domain "a", 3 and 4 in domain "b".
func newObjectiveCore() *Core {
	c := &Core{Settings: Settings{SharedRetryBurst: 8, NotReadyRetryAfter: 200 * ms}.WithDefaults(), Rand: rand.New(rand.NewPCG(1, 2))}
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

var readPolicy = &Policy{Service: "jobrecords", Route: "read", Targets: []Target{{Service: "bookings", Weight: 1}}, Idempotent: true, Attempts: 2, Timeout: time.Second}

// reportLoad records a load that a server reported for route "read".
func reportLoad(c *Core, id uint64, l Load) {
	s := c.members[id]
	s.recordLoad(epoch, "read", l)
}

// firstAttempt sends a call with an objective of 300 ms and returns its first attempt.
func firstAttempt(c *Core, call uint64, body int64) SendAttempt {
	for _, a := range c.Step(epoch, CallArrived{Call: call, Policy: readPolicy, Remaining: time.Second, Objective: 300 * ms, BodyLength: body}) {
		if s, ok := a.(SendAttempt); ok {
			return s
		}
	}
	return SendAttempt{}
}

// TestChooseLowestLatency checks which server receives the next call, by the loads reported last.
func TestChooseLowestLatency(t *testing.T) {
	normal := Load{Free: 8, Slots: 10, ServiceTime: 100 * ms}
	full := Load{Free: -2, Slots: 10, ServiceTime: 100 * ms, Backlog: 150 * ms}
	slow := Load{Free: 8, Slots: 10, ServiceTime: 220 * ms}
	fast := Load{Free: 8, Slots: 10, ServiceTime: 60 * ms}
	tests := map[string]struct {
		loads [4]Load
		body  int64
		want  []uint64
	}{
		"equal servers: stay in the failure domain":           {[4]Load{normal, normal, normal, normal}, 0, []uint64{1, 2}},
		"slow server and a faster one":                        {[4]Load{slow, normal, normal, normal}, 0, []uint64{2}},
		"slow failure domain":                                 {[4]Load{slow, slow, normal, normal}, 0, []uint64{3, 4}},
		"much faster server elsewhere":                        {[4]Load{normal, normal, normal, fast}, 0, []uint64{4}},
		"full failure domain":                                 {[4]Load{full, full, normal, normal}, 0, []uint64{3, 4}},
		"full failure domain, upload that is in time here":    {[4]Load{full, full, normal, normal}, uploadSize, []uint64{1, 2}},
		"full failure domain, upload that would be late here": {[4]Load{{Free: -9, Slots: 10, ServiceTime: 100 * ms, Backlog: 400 * ms}, {Free: -9, Slots: 10, ServiceTime: 100 * ms, Backlog: 400 * ms}, normal, normal}, uploadSize, []uint64{3, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newObjectiveCore()
			for i, l := range tc.loads {
				reportLoad(c, uint64(i+1), l)
			}
			got := firstAttempt(c, 1, tc.body)
			qt.Assert(t, tc.want, qt.Contains, got.Member)
			qt.Assert(t, got.Final, qt.IsFalse)
		})
	}
}

// TestRetriesWithAllServersFull checks that a call that all servers refuse is sent to others without taking from the retry budget, then once as final, and is then refused.
func TestRetriesWithAllServersFull(t *testing.T) {
	c := newObjectiveCore()
	full := Load{Free: -9, Slots: 10, ServiceTime: 100 * ms, Backlog: 400 * ms}
	for id := range uint64(4) {
		reportLoad(c, id+1, full)
	}
	s := firstAttempt(c, 1, 0)
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
	qt.Assert(t, sends <= 1+maxNotRunRetries+1, qt.IsTrue)
	qt.Assert(t, c.services["bookings"].budget.tokens, qt.Equals, c.services["bookings"].budget.capacity, qt.Commentf("refusals of calls that did not reach a server take nothing from the retry budget"))
}

// TestSharedRetryBudgetShedCalls checks, for partly failing servers that shed part of their calls, that retries of shed calls take from the shared retry budget, since each retry may reach a backend server, and that a part of the budget is kept for calls that may run only once.
func TestSharedRetryBudgetShedCalls(t *testing.T) {
	c := newObjectiveCore()
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
	c.services["bookings"].budget.tokensPerCall = 0
	reads := 0
	for call := range uint64(50) {
		if shed(call+1, readPolicy) {
			reads++
		}
	}
	nonIdempotentPolicy := *readPolicy
	nonIdempotentPolicy.Idempotent = false
	nonIdempotent := 0
	for call := range uint64(50) {
		if shed(call+100, &nonIdempotentPolicy) {
			nonIdempotent++
		}
	}
	qt.Assert(t, reads+nonIdempotent, qt.Equals, 2, qt.Commentf("the burst of 8 is divided among 4 daemons"))
	qt.Assert(t, nonIdempotent, qt.Equals, 1)
}

// TestLargeBodyTransferTime checks that a large body over slow links goes to the backend server on the same VM, which needs no transfer, unless that server would be late or is much slower. Over fast links and for small bodies the load decides.
func TestLargeBodyTransferTime(t *testing.T) {
	normal := Load{Free: 8, Slots: 10, ServiceTime: 200 * ms}
	busy := Load{Free: 0, Slots: 10, ServiceTime: 200 * ms}
	full := Load{Free: -9, Slots: 10, ServiceTime: 200 * ms, Backlog: 400 * ms}
	tests := map[string]struct {
		local, others Load
		body          int64
		mbps          float64
		want          []uint64
	}{
		"all at low load":                 {normal, normal, uploadSize, 5, []uint64{1}},
		"local server busier":             {busy, normal, uploadSize, 5, []uint64{1}},
		"local server would be late":      {full, normal, uploadSize, 5, []uint64{2}},
		"local server busier, fast link":  {busy, normal, uploadSize, 1000, []uint64{2}},
		"size unknown":                    {normal, normal, -1, 5, []uint64{1}},
		"small body, local server busier": {busy, normal, 0, 5, []uint64{2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				c := newObjectiveCore()
				c.Rand = rand.New(rand.NewPCG(1, seed))
				c.self, c.Settings.LinkRate = 1, tc.mbps*1e6/8
				reportLoad(c, 1, tc.local)
				for id := uint64(2); id <= 4; id++ {
					reportLoad(c, id, tc.others)
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

// TestMaxQueueWaitByAttempt checks that the first three attempts of a call wait for a slot only for a limited time and the fourth without limit: in a large fleet the load reports are old, so another server may have free slots.
func TestMaxQueueWaitByAttempt(t *testing.T) {
	tests := map[string]struct {
		call    CallArrived
		bounded []bool // whether the wait is limited, by attempt
	}{
		"read":         {CallArrived{Objective: 800 * ms}, []bool{true, true, true, false}},
		"upload":       {CallArrived{Objective: 800 * ms, BodyLength: uploadSize}, []bool{true}},
		"no objective": {CallArrived{}, []bool{false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newObjectiveCore()
			for id := range uint64(4) {
				reportLoad(c, id+1, Load{Free: 8, Slots: 10, ServiceTime: 200 * ms})
			}
			e := tc.call
			e.Call, e.Policy, e.Remaining = 1, readPolicy, 2*time.Second
			actions := c.Step(epoch, e)
			for i, want := range tc.bounded {
				var s SendAttempt
				for _, a := range actions {
					if x, ok := a.(SendAttempt); ok {
						s = x
					}
				}
				qt.Assert(t, s.Attempt, qt.Equals, i+1)
				qt.Assert(t, s.MaxQueueWait > 0, qt.Equals, want)
				full := Load{Free: -2, Slots: 10, ServiceTime: 200 * ms, Backlog: 60 * ms}
				actions = c.Step(epoch, AttemptRefused{Call: 1, Attempt: s.Attempt, Reason: wire.ReasonQueueFull, Load: full})
			}
		})
	}
}

// TestMaxQueueWaitCoversReportedWait checks that a call waits at least as long as the reported backlog at a busy server that is still expected to answer first.
func TestMaxQueueWaitCoversReportedWait(t *testing.T) {
	c := newObjectiveCore()
	for id := range uint64(4) {
		reportLoad(c, id+1, Load{Free: -3, Slots: 10, ServiceTime: 100 * ms, Backlog: 120 * ms})
	}
	s := firstAttempt(c, 1, 0)
	qt.Assert(t, s.MaxQueueWait > 120*ms, qt.IsTrue, qt.Commentf("%s", s.MaxQueueWait))
}

// TestDownloadsStayInFailureDomain checks that a route whose answers have been large is served in its own failure domain while a server there is in time,
// even if a server elsewhere would answer sooner, and that its transfer counts where the link is slow.
func TestDownloadsStayInFailureDomain(t *testing.T) {
	const download = 90_000 // bytes
	normal := Load{Free: 8, Slots: 10, ServiceTime: 100 * ms}
	fast := Load{Free: 8, Slots: 10, ServiceTime: 40 * ms}
	queue := Load{Free: -5, Slots: 10, ServiceTime: 100 * ms, Backlog: 150 * ms}
	full := Load{Free: -9, Slots: 10, ServiceTime: 100 * ms, Backlog: 400 * ms}
	tests := map[string]struct {
		loads    [4]Load
		size     int64
		status   int
		linkRate float64
		want     []uint64
	}{
		"small answers go to the faster server":     {loads: [4]Load{normal, normal, fast, fast}, size: 1500, want: []uint64{3, 4}},
		"large answers stay":                        {loads: [4]Load{normal, normal, fast, fast}, size: download, want: []uint64{1, 2}},
		"large answers stay behind a queue":         {loads: [4]Load{queue, queue, normal, normal}, size: download, want: []uint64{1, 2}},
		"large answers that would be late go":       {loads: [4]Load{full, full, normal, normal}, size: download, want: []uint64{3, 4}},
		"errors tell nothing of the answers' sizes": {loads: [4]Load{normal, normal, fast, fast}, size: download, status: 500, want: []uint64{3, 4}},
		"slow link: only the own VM is in time":     {loads: [4]Load{queue, normal, normal, normal}, size: 4 * download, linkRate: 1.4e6, want: []uint64{1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newObjectiveCore()
			c.Settings.LinkRate, c.self = tc.linkRate, 1
			if tc.status == 0 {
				tc.status = 200
			}
			s := firstAttempt(c, 1, 0)
			c.Step(epoch, AttemptAnswered{Call: 1, Attempt: s.Attempt, Status: tc.status, Size: tc.size})
			c.Step(epoch, AttemptEnded{Call: 1, Attempt: s.Attempt})
			for i, l := range tc.loads {
				reportLoad(c, uint64(i+1), l)
				c.members[uint64(i+1)].errorRate = 0
			}
			qt.Assert(t, tc.want, qt.Contains, firstAttempt(c, 2, 0).Member)
		})
	}
}
