package booking

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestCoreAnswersLost checks, for a backend server of three slots that runs calls 1 to 3 of 20 ms,
// with call 4 queued, which slots are free and which calls are doubted, by what it reports to run.
func TestCoreAnswersLost(t *testing.T) {
	type step struct {
		after time.Duration
		event Event
	}
	reports := func(from time.Duration, running ...int) []step {
		var out []step
		for i, n := range running {
			out = append(out, step{from + time.Duration(i)*lostConfirmTime, Reported{Answered: 3, Running: n}})
		}
		return out
	}
	const early, late = 20 * time.Millisecond, 60 * time.Millisecond // the calls are overdue after 40 ms
	tests := map[string]struct {
		leavesOut    bool // reports do not count the call that is answered
		unsent       bool // the connection for call 1 is still being opened
		steps        []step
		wantLost     []uint64
		wantAdmitted []uint64
		wantBusy     int
	}{
		"all run":                             {false, false, reports(late, 3, 3, 3), nil, nil, 3},
		"more than its calls":                 {false, false, reports(late, 5, 5, 5), nil, nil, 3},
		"one lost":                            {false, false, reports(late, 2, 2), []uint64{1}, []uint64{4}, 3},
		"one lost, not confirmed":             {false, false, reports(late, 2), nil, nil, 3},
		"one lost in every other":             {false, false, reports(late, 2, 3, 2, 3, 2), nil, nil, 3},
		"one lost, none overdue":              {false, false, reports(early, 2, 2), nil, []uint64{4}, 3},
		"two lost":                            {false, false, reports(late, 1, 1), []uint64{1, 2}, []uint64{4}, 2},
		"one of two confirmed":                {false, false, reports(late, 1, 2), []uint64{1}, []uint64{4}, 3},
		"sent only now":                       {false, false, reports(time.Millisecond, 1), nil, nil, 3},
		"released after it was lost":          {false, false, append(reports(late, 2, 2), step{late + lostConfirmTime, Release{Call: 1, Result: ResultFailed}}), []uint64{1}, []uint64{4}, 3},
		"a later report takes it back":        {false, false, reports(early, 2, 2, 4), nil, []uint64{4}, 4},
		"a shed call shows it full":           {false, false, append(reports(late, 2, 2), step{late + lostConfirmTime, Release{Call: 4, Result: ResultShed}}, step{2 * late, Reported{Answered: 3, Running: 1}}), []uint64{1}, []uint64{4}, 3},
		"answers after all":                   {false, false, append(reports(late, 2, 2), step{late + lostConfirmTime, Reported{Answered: 1, Running: 4}}, step{late + lostConfirmTime, Release{Call: 1, Result: ResultAnswered}}), []uint64{1}, []uint64{4}, 3},
		"another one is lost":                 {false, false, append(reports(late, 2, 2), step{late + lostConfirmTime, Reported{Answered: 1, Running: 1}}), []uint64{1, 2}, []uint64{4}, 3},
		"answers of unknown calls":            {false, false, []step{{late, Reported{Answered: 99}}, {2 * late, Reported{Answered: 99}}}, nil, nil, 3},
		"answers still being read":            {false, false, []step{{late, Reported{Answered: 1, Running: 3}}, {late, Reported{Answered: 2, Running: 2}}, {2 * late, Reported{Answered: 3, Running: 1}}}, nil, nil, 3},
		"reports leave out the answered call": {true, false, reports(late, 2, 2), nil, nil, 3},
		"one lost beside such reports":        {true, false, reports(late, 1, 1), []uint64{1}, []uint64{4}, 3},
		"dial, nobody lost":                   {false, true, reports(0, 2, 2, 2, 2, 2, 2, 2, 2, 2), nil, nil, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := fixedLimitCore(3, map[string]time.Duration{"inner": 20 * time.Millisecond})
			c.lost.countsAnswered = !tc.leavesOut
			for call := range uint64(4) {
				c.Step(epoch, Arrive{Call: call + 1, Route: "inner", Timeout: time.Second, Objective: 500 * time.Millisecond, Final: true})
				if call > 0 || !tc.unsent {
					c.Step(epoch, Sent{Call: call + 1})
				}
			}
			var actions []Action
			for _, s := range tc.steps {
				actions = append(actions, c.Step(epoch.Add(s.after), s.event)...)
			}
			var lost []uint64
			for _, a := range actions {
				if a, ok := a.(Lost); ok {
					lost = append(lost, a.Call)
				}
			}
			qt.Check(t, lost, qt.DeepEquals, tc.wantLost)
			qt.Check(t, admitted(actions), qt.DeepEquals, tc.wantAdmitted)
			qt.Check(t, c.busySlots(), qt.Equals, tc.wantBusy)
		})
	}
}

// TestCoreReportsTooLow checks that a backend server that always reports no running requests gets
// at most twice its slots.
func TestCoreReportsTooLow(t *testing.T) {
	c := fixedLimitCore(3, map[string]time.Duration{"inner": time.Second})
	now := epoch
	for call := range uint64(50) {
		now = now.Add(10 * time.Millisecond)
		c.Step(now, Arrive{Call: call + 1, Route: "inner", Timeout: 10 * time.Second, Objective: 9 * time.Second, Final: true})
		c.Step(now, Sent{Call: call + 1})
		c.Step(now, Reported{Answered: 1, Running: 0})
		qt.Assert(t, c.InFlight() <= 6, qt.IsTrue)
	}
}

func TestParseRunning(t *testing.T) {
	tests := map[string]struct {
		value string
		want  int
		ok    bool
	}{
		"running and waiting": {"5,2,6", 7, true},
		"with a speed":        {"5, 0, 6, 80", 5, true},
		"empty":               {"", 0, false},
		"one figure":          {"5", 0, false},
		"negative":            {"-1,2,6", 0, false},
		"no number":           {"a,b,c", 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			n, ok := parseRunning([]byte(tc.value))
			qt.Check(t, n, qt.Equals, tc.want)
			qt.Check(t, ok, qt.Equals, tc.ok)
		})
	}
}

// TestLostAnswer checks, for a call whose answer seems lost long before its deadline, that its
// caller's daemon is told if it may run again, and that the run goes on, unless that daemon cannot
// be told: then the call is refused as possibly run.
func TestLostAnswer(t *testing.T) {
	tests := map[string]struct {
		idempotent, takesDoubt, cancelled bool
		wantDoubt                         bool
		wantRefusal                       wire.RefusalReason
	}{
		"idempotent":               {true, true, false, true, wire.ReasonNone},
		"idempotent, cancelled":    {true, true, true, true, wire.ReasonCancelled},
		"idempotent, older daemon": {true, false, false, false, wire.ReasonCut},
		"once only":                {false, true, false, false, wire.ReasonNone},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := startRawBackend(t)
			answers := make(chan struct{})
			b.answer = func(head string) string {
				if strings.HasPrefix(head, "GET /lost") {
					<-answers
				}
				return "HTTP/1.1 200 OK\r\nX-Load: 1,0,4\r\nContent-Length: 2\r\n\r\nok"
			}
			s := &Server{
				UsesHeartbeats: true, Service: "bookings", Self: 7, Headers: header.Names{Load: "X-Load"},
				Backend: settings.Backend{Addr: addrOf(b.listener), Slots: 4, Connections: 8, HealthPath: "/health"},
			}
			s.SetInstance("i-1", 4, true)
			t.Cleanup(s.pool.close)
			newInbound("GET", "/a", "a", nil, 0).serve(t, s) // its report shows that reports count the answered call
			overdue := max(300*time.Millisecond, 10*time.Duration(s.Load().Service)*time.Millisecond)
			lost := newInbound("GET", "/lost", "b", nil, 0)
			lost.head.Idempotent, lost.head.TakesDoubt, lost.head.TimeoutMS = tc.idempotent, tc.takesDoubt, (2*time.Second + overdue).Milliseconds()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.ServeCall(ctx, lost)
			}()
			time.Sleep(overdue) // many times as long as its service time, also beside load
			for range 3 {
				newInbound("GET", "/a", "c", nil, 0).serve(t, s)
				time.Sleep(2 * lostConfirmTime)
			}
			qt.Check(t, lost.doubted.Load(), qt.Equals, tc.wantDoubt)
			if tc.cancelled {
				cancel()
			}
			if tc.wantRefusal == wire.ReasonNone {
				qt.Check(t, s.InFlight(), qt.Equals, 1)
				close(answers)
			} else {
				defer close(answers)
			}
			select {
			case <-ended:
			case <-time.After(time.Second):
				t.Fatal("the call has not ended")
			}
			qt.Check(t, s.InFlight(), qt.Equals, 0)
			if tc.wantRefusal == wire.ReasonNone {
				qt.Check(t, lost.refusal, qt.IsNil)
				qt.Check(t, lost.answer.String(), qt.Equals, "ok")
				return
			}
			qt.Assert(t, lost.refusal, qt.IsNotNil)
			qt.Check(t, lost.refusal.Reason, qt.Equals, tc.wantRefusal)
			qt.Check(t, lost.refusal.MayHaveRun, qt.IsTrue)
		})
	}
}

// Guards against a run that is taken for lost although its answer has arrived: this process has been late to read it.
func TestLostRunWithUnreadAnswer(t *testing.T) {
	for name, arrived := range map[string]bool{"unread answer": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := listen(c)
			defer func() { _ = l.Close() }()
			nc, err := net.Dial("tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = nc.Close() }()
			backend, err := l.Accept()
			c.Assert(err, qt.IsNil)
			defer func() { _ = backend.Close() }()
			in := newInbound("GET", "/diary", "", nil, 0)
			in.head.TakesDoubt = true
			s := &Server{}
			s.init()
			x := &exchange{s: s, in: in, head: in.head, call: 1, conn: newConn(nc)}
			s.beginRun(x)
			if arrived {
				_, err = io.WriteString(backend, "HTTP/1.1 200 OK\r\n")
				c.Assert(err, qt.IsNil)
				waitUntil(c, "it has arrived", x.conn.hasUnread)
			}
			s.mu.Lock()
			s.doubtRunLocked(1)
			s.mu.Unlock()
			c.Check(in.doubted.Load(), qt.Equals, !arrived)
		})
	}
}
