package booking

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

// A backend server that names a limit in its answers must not get more calls a second than that,
// from all VMs together.
func TestServerNamedLimit(t *testing.T) {
	const (
		limit    = 20.0 // calls a second, a small part of what the backend server can run
		callers  = 16
		learning = 500 * time.Millisecond
		window   = 2 * time.Second
	)
	c := qt.New(t)
	b := startBackend(t, &standin.Backend{Slots: 8, Connections: 16, Work: 5 * time.Millisecond})
	s := startServer(t, b.Listener, 8, 16)
	b.SetFaults(standin.BackendFaults{Limit: limit})
	ctx, cancel := context.WithTimeout(context.Background(), learning+window)
	defer cancel()
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				in := newInbound("GET", "/diary", fmt.Sprint(caller, "-", i), nil, 0)
				in.head.ObjectiveMS = 100
				s.ServeCall(ctx, in)
				time.Sleep(time.Millisecond) // a refused caller comes back soon
			}
		})
	}
	start := time.Now()
	wg.Wait()
	n := 0
	for _, r := range b.Runs.Runs() {
		if r.Start.Sub(start) >= learning {
			n++
		}
	}
	c.Check(float64(n) <= 1.5*limit*window.Seconds()+5, qt.IsTrue, qt.Commentf("%d calls in %s", n, window))
	c.Check(float64(n) >= 0.8*limit*window.Seconds(), qt.IsTrue, qt.Commentf("only %d calls in %s", n, window))
}

// A limit of 0 stops all answers that could lift it, so the health endpoint must be asked until it
// names the limit no more.
func TestServerLimitZeroIsLifted(t *testing.T) {
	c := qt.New(t)
	b := startRawBackend(t)
	limit := "X-Limit-Per-Second: 0\r\n"
	var mu sync.Mutex
	b.answer = func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }
	b.health = func() string {
		mu.Lock()
		defer mu.Unlock()
		return limit
	}
	s := &Server{UsesHeartbeats: true, Backend: settings.Backend{Addr: addrOf(b.listener), Slots: 4, Connections: 8, HealthPath: "/health"}, Service: "bookings", Self: 7}
	s.SetInstance("", 0, false)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.CheckHealth(ctx)
	s.mu.Lock()
	s.setHealthLocked(HealthUp)
	s.reportedHealth = HealthUp
	s.mu.Unlock()
	refused := newInbound("GET", "/diary", "1", nil, 0).serve(t, s)
	c.Assert(refused.refusal, qt.IsNotNil)
	c.Check(refused.refusal.RetryAfterMS, qt.Equals, limitCheckAge.Milliseconds())
	mu.Lock()
	limit = ""
	mu.Unlock()
	runUntilCleanup(t, s.Run)
	waitUntil(t, "a call is answered", func() bool { return newInbound("GET", "/diary", "2", nil, 0).serve(t, s).complete })
}
