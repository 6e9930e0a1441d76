package booking

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against requests that wait in the queue of a leaving backend server and reach it when it may
// have ended, against such requests that are refused only then, and against the refusal of those that
// can still run.
func TestCoreLeave(t *testing.T) {
	const ms = time.Millisecond
	refuse := func(calls ...uint64) []Action {
		var out []Action
		for _, call := range calls {
			out = append(out, Refuse{Call: call, Reason: wire.ReasonLeaving, RetryAfter: minRetryAfter})
		}
		return out
	}
	tests := map[string]struct {
		queued int             // calls of 100 ms each, behind one that has run for ran
		ran    time.Duration   // until the leave
		within []time.Duration // of each leave
		want   []Action
	}{
		"all can run":                     {queued: 2, within: []time.Duration{350 * ms}},
		"the last one cannot":             {queued: 3, within: []time.Duration{250 * ms}, want: refuse(3)},
		"none can":                        {queued: 2, within: []time.Duration{50 * ms}, want: refuse(1, 2)},
		"no time":                         {queued: 1, within: []time.Duration{0}, want: refuse(1)},
		"a later leave changes nothing":   {queued: 2, within: []time.Duration{350 * ms, 2000 * ms}},
		"a second leave is earlier":       {queued: 2, within: []time.Duration{350 * ms, 150 * ms}, want: refuse(2)},
		"the server has turned slow":      {queued: 2, ran: 300 * ms, within: []time.Duration{300 * ms}, want: refuse(2)},
		"the server has turned very slow": {queued: 2, ran: 900 * ms, within: []time.Duration{110 * ms}, want: refuse(2)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := warmCore(1, 8, 100*ms)
			c.QueueWait = 5 * time.Second
			fillSlots(c, 1)
			for i := range tc.queued {
				c.Step(epoch, Arrive{Call: uint64(i + 1), Route: "read"})
			}
			qt.Assert(t, c.queue.size, qt.Equals, tc.queued)
			var got []Action
			for _, d := range tc.within {
				got = append(got, c.Step(epoch.Add(tc.ran), Leave{Within: d})...)
			}
			qt.Check(t, got, qt.DeepEquals, tc.want)
			if c.queue.size > 0 {
				d, ok := c.NextTick(epoch.Add(tc.ran))
				qt.Check(t, ok && d <= leaveCheckInterval, qt.IsTrue)
			}
			qt.Check(t, c.Step(epoch.Add(tc.ran), Arrive{Call: 99, Route: "read"}), qt.DeepEquals, refuse(99))
			by := c.leaveBy
			c.Step(by, Tick{})
			qt.Check(t, c.queue.size, qt.Equals, 0, qt.Commentf("calls are queued when the backend server may have ended"))
			qt.Check(t, c.InFlight(), qt.Equals, 1, qt.Commentf("a running call is cut"))
			c.Step(by, Release{Call: 1000})
			c.Step(by, Resume{})
			qt.Check(t, c.Step(by, Arrive{Call: 100, Route: "read"}), qt.DeepEquals, []Action{Admit{Call: 100}}, qt.Commentf("the next instance takes calls"))
		})
	}
}

// newLeavingServer returns a server with one slot for a backend server that is reported by heartbeats.
func newLeavingServer(c *qt.C, b *standin.Backend) *Server {
	startBackend(c, b)
	s := &Server{
		Backend: settings.Backend{Addr: b.Listener.Addr().(*net.TCPAddr).AddrPort(), Slots: 1, Connections: 4},
		Service: "bookings", Self: 7, UsesHeartbeats: true,
		Document: func() *document.Document {
			return &document.Document{Limits: document.Limits{Queue: 8, QueueWait: document.Duration(5 * time.Second)}}
		},
	}
	s.SetInstance("i-1", 1, true)
	c.Cleanup(func() { s.pool.close() })
	return s
}

// Guards against a leave that reaches the backend server too late, with calls whose callers wait: a
// running call is not cut, and a call that waits is told early that it has not run.
func TestServerLeave(t *testing.T) {
	c := qt.New(t)
	s := newLeavingServer(c, &standin.Backend{Work: 600 * time.Millisecond, Slots: 1, Connections: 4})
	newInbound("GET", "/diary", "warm", nil, 0).serve(c, s)
	running, queued := newInbound("GET", "/diary", "a", nil, 0), newInbound("GET", "/diary", "b", nil, 0)
	var wg sync.WaitGroup
	wg.Go(func() { running.serve(c, s) })
	waitUntil(c, "the call runs", func() bool { return s.InFlight() == 1 })
	var refusedAt time.Time
	wg.Go(func() {
		queued.serve(c, s)
		refusedAt = time.Now()
	})
	waitUntil(c, "the call is queued", func() bool { return s.Load().Free < 0 })
	began := time.Now()
	s.LeaveWithin(300 * time.Millisecond)
	wg.Wait()
	c.Assert(queued.refusal, qt.IsNotNil)
	c.Check(refusedAt.Sub(began) < 150*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", refusedAt.Sub(began)))
	c.Check(queued.refusal.Reason, qt.Equals, wire.ReasonLeaving)
	c.Check(queued.refusal.MayHaveRun, qt.IsFalse)
	c.Check(running.complete, qt.IsTrue)
}

// Guards against a request that is sent to a backend server which may have ended while the VM was
// suspended, or while the call waited for a connection: no timer of the queue shows that.
func TestServerSendsNothingAfterLeave(t *testing.T) {
	c := qt.New(t)
	b := &standin.Backend{}
	s := newLeavingServer(c, b)
	newInbound("GET", "/diary", "before", nil, 0).serve(c, s)
	s.mu.Lock()
	s.leaveBy = clock.NowWithSuspension()
	s.mu.Unlock()
	for name, method := range map[string]string{"read": "GET", "payment": "POST"} {
		in := newInbound(method, "/diary", name, nil, 0)
		s.ServeCall(context.Background(), in)
		c.Assert(in.refusal, qt.IsNotNil)
		c.Check(in.refusal.Reason, qt.Equals, wire.ReasonLeaving)
		c.Check(in.refusal.MayHaveRun, qt.IsFalse)
		c.Check(b.Runs.Count(name), qt.Equals, 0)
	}
	c.Check(s.InFlight(), qt.Equals, 0)
	s.Resume()
	c.Check(newInbound("GET", "/diary", "after", nil, 0).serve(c, s).complete, qt.IsTrue)
}
