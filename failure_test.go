package main_test

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/bench"
)

// TestPaymentRunsAtMostOnce brings a failure to the daemon that runs payments, and repeats them elsewhere.
func TestPaymentRunsAtMostOnce(t *testing.T) {
	const payments = 24
	tests := map[string]struct {
		fail   func(*process)
		mend   func(*process)
		freeze time.Duration
	}{
		"killed":             {fail: func(p *process) { p.signal(syscall.SIGKILL) }},
		"frozen for a while": {fail: func(p *process) { p.signal(syscall.SIGSTOP) }, mend: func(p *process) { p.signal(syscall.SIGCONT) }, freeze: 3 * time.Second},
		"stopped as planned": {fail: func(p *process) { p.signal(syscall.SIGTERM) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newMesh(c)
			first := m.start("bookings", "mid-a", 50*time.Millisecond)
			second := m.start("bookings", "mid-b", 50*time.Millisecond)
			awaitReady(c, 2, first, second)

			var wg sync.WaitGroup
			for i := range payments {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					first.call("POST", "bookings.example", "/deposits", fmt.Sprint("first-", i), fmt.Sprint("key-", i))
				})
			}
			time.Sleep(payments * 5 * time.Millisecond)
			tc.fail(first)
			last := make([]answer, payments)
			for i := range payments {
				wg.Go(func() { last[i] = second.pay(fmt.Sprint("second-", i), fmt.Sprint("key-", i)) })
			}
			time.Sleep(tc.freeze)
			if tc.mend != nil {
				tc.mend(first)
			}
			wg.Wait()
			c.Check(m.Runs.Doubled(), qt.Equals, 0)
			for i, a := range last {
				if a.Status == fasthttp.StatusOK {
					c.Check(m.Runs.CountKey(fmt.Sprint("key-", i)), qt.Equals, 1)
				}
			}
			// Payments go on at the daemon that is left.
			c.Check(second.pay("fresh", "fresh").Status, qt.Equals, fasthttp.StatusOK)
			c.Check(m.Runs.CountKey("fresh"), qt.Equals, 1)
		})
	}
}

// TestPlannedStopCutsNoRequest stops a daemon while requests run at the backend server beside it.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	c := qt.New(t)
	m := newMesh(c)
	first := m.start("bookings", "mid-a", 400*time.Millisecond)
	second := m.start("bookings", "mid-b", 400*time.Millisecond)
	awaitReady(c, 2, first, second)
	answers := make([]answer, 4)
	var wg sync.WaitGroup
	for i := range answers {
		at := []*process{first, second}[i%2]
		wg.Go(func() {
			answers[i] = at.call("POST", "bookings.example", "/rest", fmt.Sprint("token-", i), "")
		})
	}
	eventually(c, "requests run", func() bool { return m.Runs.Count("token-0") > 0 && m.Runs.Count("token-3") > 0 })
	first.signal(syscall.SIGTERM)
	wg.Wait()
	c.Assert(first.wait(), qt.IsNil)
	for i, a := range answers {
		c.Check(a.Err, qt.IsNil)
		c.Check(a.Status, qt.Equals, 200, qt.Commentf("%+v", a))
		c.Check(a.Token, qt.Equals, fmt.Sprint("token-", i))
		c.Check(m.Runs.Count(fmt.Sprint("token-", i)), qt.Equals, 1)
	}
}

// TestStartWithTheStoreDown starts a daemon that can learn the configuration from its peers only.
func TestStartWithTheStoreDown(t *testing.T) {
	c := qt.New(t)
	m := newMesh(c)
	first := m.start("bookings", "mid-a", time.Millisecond)
	awaitReady(c, 1, first)
	f := m.Keyspace.Faults()
	f.Down = true
	m.Keyspace.SetFaults(f)
	second := m.start("jobrecords", "mid-b", time.Millisecond, first.Control)
	awaitReady(c, 2, first, second)
	c.Check(second.status().Version, qt.Equals, first.status().Version)
	a := second.call("GET", "bookings.example", "/diary/today", "token", "")
	c.Check(a.Status, qt.Equals, 200)
	a = first.call("POST", "bookings.example", "/deposits", "token", "key")
	c.Check(a.Outcome, qt.Equals, "not-run", qt.Commentf("%+v", a))
	c.Check(m.Runs.CountKey("key"), qt.Equals, 0)
}

// TestFrozenDaemonNeverGoesBack freezes each daemon in turn over several edits.
func TestFrozenDaemonNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	m := newMesh(c)
	ps := []*process{
		m.start("bookings", "mid-a", time.Millisecond),
		m.start("bookings", "mid-a", time.Millisecond),
		m.start("jobrecords", "mid-b", time.Millisecond),
	}
	awaitReady(c, 3, ps...)
	doc := string(bench.Hollins().Services[0].Document)
	for i, frozen := range ps {
		before := frozen.status().Version
		frozen.signal(syscall.SIGSTOP)
		var version uint64
		for n := range 3 {
			version = m.apply("bookings", strings.Replace(doc, `"150ms"`, fmt.Sprintf(`"%dms"`, 200+10*i+n), 1))
		}
		for _, p := range ps {
			if p != frozen {
				eventually(c, "in force on the others", func() bool { return p.status().Version == version })
			}
		}
		frozen.signal(syscall.SIGCONT)
		eventually(c, "in force on the frozen one", func() bool {
			v := frozen.status().Version
			c.Check(v >= before || v == 0, qt.IsTrue) // 0: no answer yet
			before = max(before, v)
			return v == version
		})
	}
}

// TestPlannedStopEndsWithinItsGrace stops a daemon whose backend server never answers.
func TestPlannedStopEndsWithinItsGrace(t *testing.T) {
	c := qt.New(t)
	m := newMesh(c)
	m.StopGrace = 2 * time.Second
	p := m.start("bookings", "mid-a", time.Hour)
	awaitReady(c, 1, p)
	var wg sync.WaitGroup
	wg.Go(func() { p.call("PUT", "bookings.example", "/photos/a", "token", "") })
	eventually(c, "request runs", func() bool { return m.Runs.Count("token") > 0 })
	p.signal(syscall.SIGTERM)
	c.Assert(p.wait(), qt.IsNil)
	wg.Wait()
}
