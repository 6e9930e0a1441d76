package booking

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/standin"
)

// serveConcurrently serves n calls concurrently and returns them when all have ended.
func serveConcurrently(tb testing.TB, s *Server, n int, newCall func(i int) *fakeInbound) []*fakeInbound {
	out := make([]*fakeInbound, n)
	var wg sync.WaitGroup
	for i := range n {
		out[i] = newCall(i)
		wg.Go(func() { out[i].serve(tb, s) })
	}
	wg.Wait()
	return out
}

// Under overload the limits on slots and connections hold. Each call is either refused without having run, or run once and answered.
func TestServeCallOverload(t *testing.T) {
	b := startBackend(t, &standin.Backend{Slots: 4, Connections: 6, Work: 5 * time.Millisecond})
	s := startServer(t, b.Listener, 4, 6)
	s.Document = func() *document.Document {
		return &document.Document{Limits: document.Limits{Queue: 8, QueueWait: document.Duration(testTimeout)}}
	}
	calls := serveConcurrently(t, s, 200, func(i int) *fakeInbound {
		method := []string{"GET", "POST"}[i%2]
		return newInbound(method, "/diary", fmt.Sprint(i), nil, 0)
	})
	answered := 0
	for i, in := range calls {
		runs := b.Runs.Count(fmt.Sprint(i))
		if in.refusal != nil {
			qt.Check(t, in.refusal.MayHaveRun, qt.IsFalse)
			qt.Check(t, in.refusal.RetryAfterMS > 0, qt.IsTrue)
			qt.Check(t, runs, qt.Equals, 0)
			continue
		}
		answered++
		qt.Check(t, in.complete, qt.IsTrue)
		qt.Check(t, runs, qt.Equals, 1)
	}
	qt.Assert(t, answered >= 12, qt.IsTrue, qt.Commentf("%d answered", answered)) // 4 that get a slot at once and 8 queued
	qt.Assert(t, b.Runs.SlotsExceeded(), qt.Equals, 0)
	qt.Assert(t, b.Runs.ConnectionsExceeded(), qt.Equals, 0)
	qt.Assert(t, s.InFlight(), qt.Equals, 0)
}

// Calls cancelled at any time leak no slot, and the backend server never runs more calls than it has slots.
func TestServeCallCancelledCalls(t *testing.T) {
	b := startBackend(t, &standin.Backend{Slots: 3, Connections: 6, Work: 20 * time.Millisecond})
	s := startServer(t, b.Listener, 3, 6)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*time.Millisecond)
			defer cancel()
			s.ServeCall(ctx, newInbound("GET", "/diary", fmt.Sprint(i), nil, 0))
		})
	}
	wg.Wait()
	qt.Assert(t, b.Runs.SlotsExceeded(), qt.Equals, 0)
	qt.Assert(t, s.InFlight(), qt.Equals, 0)
	qt.Assert(t, len(s.pending), qt.Equals, 0)
}

// A drain under load interrupts no admitted or queued call and refuses new ones.
func TestServerDrainUnderLoad(t *testing.T) {
	b := startBackend(t, &standin.Backend{Slots: 4, Connections: 8, Work: 30 * time.Millisecond})
	s := startServer(t, b.Listener, 4, 8)
	s.Document = func() *document.Document {
		return &document.Document{Limits: document.Limits{Queue: 64, QueueWait: document.Duration(testTimeout)}}
	}
	done := make(chan []*fakeInbound)
	go func() {
		done <- serveConcurrently(t, s, 20, func(i int) *fakeInbound { return newInbound("GET", "/diary", fmt.Sprint("old", i), nil, 0) })
	}()
	waitUntil(t, "all calls are admitted or queued", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.InFlight()+s.core.queue.size == 20
	})
	s.Drain()
	rejected := newInbound("GET", "/diary", "new", nil, 0).serve(t, s)
	qt.Assert(t, rejected.refusal, qt.IsNotNil)
	qt.Assert(t, rejected.refusal.MayHaveRun, qt.IsFalse)
	qt.Assert(t, b.Runs.Count("new"), qt.Equals, 0)
	for _, in := range <-done {
		qt.Check(t, in.complete, qt.IsTrue)
	}
}

// A backend server that reports that it is draining gets no new calls until it reports otherwise.
func TestServerBackendDraining(t *testing.T) {
	b := startBackend(t, &standin.Backend{})
	s := startServer(t, b.Listener, 4, 8)
	b.Drain(true)
	waitUntil(t, "drain detected", func() bool { return !s.Healthy() })
	in := newInbound("GET", "/diary", "new", nil, 0).serve(t, s)
	qt.Assert(t, in.refusal.MayHaveRun, qt.IsFalse)
	qt.Assert(t, b.Runs.Count("new"), qt.Equals, 0)
	b.Drain(false)
	waitUntil(t, "end of the drain detected", s.Healthy)
}

// The outcome of calls overrides the health endpoint: a backend server that fails every call is down although its probes succeed,
// and one that answers calls is up although its probes fail.
func TestServerHealthContradictedByCalls(t *testing.T) {
	b := startBackend(t, &standin.Backend{})
	s := startServer(t, b.Listener, 4, 8)
	b.SetFaults(standin.BackendFaults{CutAnswers: true})
	for i := range failureThreshold {
		newInbound("GET", "/diary", fmt.Sprint(i), nil, 0).serve(t, s)
	}
	qt.Assert(t, s.Healthy(), qt.IsFalse)
	b.SetFaults(standin.BackendFaults{})
	waitUntil(t, "backend server is tried again", s.Healthy)
	b.SetFaults(standin.BackendFaults{Unhealthy: true})
	newInbound("GET", "/diary", "answered", nil, 0).serve(t, s)
	qt.Assert(t, s.queryHealth(context.Background()), qt.Equals, HealthDown)
	s.mu.Lock()
	qt.Assert(t, s.health.evaluate(s.Now(), HealthDown), qt.Equals, HealthUp)
	s.mu.Unlock()
	qt.Assert(t, s.Healthy(), qt.IsTrue) // the answered call overrides the failed probe
}

// Reads are all answered while low-priority uploads occupy every slot and fill the queue.
func TestServeCallReadsBeforeUploads(t *testing.T) {
	release := make(chan struct{})
	raw := startRawBackend(t)
	raw.answer = func(string) string {
		<-release
		return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	}
	s := startServer(t, raw.listener, 2, 6)
	s.Document = func() *document.Document {
		return &document.Document{Limits: document.Limits{Queue: 8, QueueWait: document.Duration(testTimeout)}}
	}
	queued := func(p document.Priority, n int) func() bool {
		return func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.core.queue.byRank[p.Rank()]) == n
		}
	}
	send := func(method string, p document.Priority, n int) chan []*fakeInbound {
		out := make(chan []*fakeInbound, 1)
		go func() {
			out <- serveConcurrently(t, s, n, func(int) *fakeInbound {
				in := newInbound(method, "/", "", nil, 0)
				in.head.Priority = p.Rank()
				return in
			})
		}()
		return out
	}
	uploads := send("POST", document.PriorityLow, 40)
	waitUntil(t, "queue full of uploads", queued(document.PriorityLow, 8))
	// An upload that arrived after the release would find room in the queue.
	waitUntil(t, "all other uploads refused", func() bool {
		return s.Metrics.GetOrCreateCounter(`yuccaport_booking_calls_refused_total{reason="queue_full"}`).Get() == 30
	})
	reads := send("GET", document.PriorityHigh, 6)
	waitUntil(t, "all reads queued", queued(document.PriorityHigh, 6))
	close(release)
	for _, in := range <-reads {
		qt.Check(t, in.complete, qt.IsTrue, qt.Commentf("%+v", in.refusal))
	}
	answered := 0
	for _, in := range <-uploads {
		if in.complete {
			answered++
			continue
		}
		qt.Check(t, in.refusal.MayHaveRun, qt.IsFalse)
	}
	qt.Assert(t, answered, qt.Equals, 4) // the two that held slots and the two that were not evicted from the queue
}
