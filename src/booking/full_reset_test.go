package booking

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

// serveMany serves calls of so many callers at once, of rounds calls each.
func serveMany(t *testing.T, s *Server, callers, rounds int) []*fakeInbound {
	var wg sync.WaitGroup
	out := make([]*fakeInbound, callers*rounds)
	for caller := range callers {
		wg.Go(func() {
			for i := range rounds {
				in := newInbound("GET", "/diary", fmt.Sprint(caller, "-", i), nil, 0)
				in.head.ObjectiveMS, in.head.Content = 2000, uint64(1000*caller+i+1)
				out[caller*rounds+i] = in.serve(t, s)
			}
		})
	}
	wg.Wait()
	return out
}

func startResettingServer(t *testing.T, b *standin.Backend, slots int) *Server {
	s := &Server{
		UsesHeartbeats: true, ResetsWhenFull: true, Service: "bookings", Self: 7,
		Backend: settings.Backend{Addr: addrOf(b.Listener), Slots: slots, Connections: 8, HealthPath: "/health"},
	}
	s.SetInstance("i-1", slots, true)
	t.Cleanup(s.pool.close)
	return s
}

// A burst at a server that resets connections when it is full, with the slots and connections that
// it states: the agent must not reach its limits, so that none is reset.
func TestFullServerIsNotReached(t *testing.T) {
	c := qt.New(t)
	b := startBackend(t, &standin.Backend{Slots: 4, Connections: 8, Work: 3 * time.Millisecond, Start: standin.BackendFaults{ResetWhenFull: true}})
	s := startResettingServer(t, b, 4)
	for _, in := range serveMany(t, s, 24, 20) {
		c.Check(in.complete || in.refusal != nil && !in.refusal.MayHaveRun, qt.IsTrue)
	}
	c.Check(b.Resets(), qt.Equals, 0)
	c.Check(b.Runs.SlotsExceeded(), qt.Equals, 0)
	c.Check(b.Runs.ConnectionsExceeded(), qt.Equals, 0)
}

// A server that accepts fewer requests than the agent believes, as while it still runs those of an
// agent that was killed, and resets the rest. A reset must not count as a crash, which would make
// requests suspects, nor as an answer that shows a faulty server, nor as not run; the limit falls to
// what the server accepts, so that resets stay few.
func TestFullServerResets(t *testing.T) {
	c := qt.New(t)
	b := startBackend(t, &standin.Backend{Slots: 4, Connections: 16, Work: 20 * time.Millisecond, Start: standin.BackendFaults{ResetWhenFull: true}})
	s := startResettingServer(t, b, 8)
	answered, resets := 0, 0
	for _, in := range serveMany(t, s, 12, 20) {
		switch {
		case in.complete:
			answered++
		case in.refusal.MayHaveRun:
			resets++
			c.Check(in.refusal.Reason, qt.Equals, wire.ReasonLimit)
			c.Check(in.refusal.RetryAfterMS > 0, qt.IsTrue)
		}
	}
	c.Check(resets, qt.Equals, b.Resets())
	c.Check(resets > 0 && resets <= 16, qt.IsTrue, qt.Commentf("%d resets", resets))
	c.Check(answered >= 200, qt.IsTrue, qt.Commentf("%d answered", answered))
	c.Check(int(s.counters.crashes.Get()), qt.Equals, 0)
	c.Check(s.crashes.cuts, qt.HasLen, 0)
	c.Check(s.Healthy(), qt.IsTrue)
}
