package booking

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

const testTimeout = 20 * time.Second // limit for a test that hangs

// TestMain fixes the seed and steps of rapid, turns its fail files off, and checks for leaked goroutines. It ignores the two that the fasthttp server leaves running.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

func listen(tb testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	return l
}

// runUntilCleanup runs f in a goroutine until the test ends.
func runUntilCleanup(tb testing.TB, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	tb.Cleanup(func() {
		cancel()
		select {
		case err := <-done:
			qt.Check(tb, err, qt.IsNil)
		case <-time.After(testTimeout):
			tb.Error("function did not return after its context was cancelled")
		}
	})
}

// waitUntil waits until f returns true, and fails the test after testTimeout.
func waitUntil(tb testing.TB, condition string, f func() bool) {
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("condition not met in time: " + condition)
		}
	}
}

// startBackend starts a stand-in for a backend server.
func startBackend(tb testing.TB, b *standin.Backend) *standin.Backend {
	b.Listener, b.Name, b.Runs = listen(tb), "s1", &standin.RunLog{}
	if b.Slots == 0 {
		b.Slots, b.Connections = 4, 8
	}
	runUntilCleanup(tb, b.Run)
	return b
}

// startServer starts a Server for the backend server at l, with the limit at its maximum, and waits until it is healthy.
func startServer(tb testing.TB, l net.Listener, slots, connections int) *Server {
	s := &Server{
		Backend: settings.Backend{Addr: l.Addr().(*net.TCPAddr).AddrPort(), Slots: slots, Connections: connections, HealthPath: "/health"},
		Service: "bookings", Self: 7,
	}
	s.init()
	s.core.limit, s.core.running = slots, map[uint64]*runningCall{}
	runUntilCleanup(tb, s.Run)
	waitUntil(tb, "healthy", s.Healthy)
	return s
}

// fakeInbound implements link.InboundCall for a call made by a test.
type fakeInbound struct {
	head     wire.CallHead
	body     io.Reader
	mu       sync.Mutex
	reply    *wire.ReplyHead
	refusal  *wire.Refusal
	answer   bytes.Buffer
	complete bool
	refused  chan struct{}
	doubted  atomic.Bool
	unblock  chan struct{} // if set, Write waits for it
}

var errRefused = errors.New("call was refused")

// newInbound returns a call for the server of startServer. The stand-in counts the runs of the call under requestToken.
func newInbound(method, uri, requestToken string, body io.Reader, length int64) *fakeInbound {
	h := wire.CallHead{Target: 7, Service: "bookings", Route: uri, Method: method, Host: "bookings", URI: uri, BodyLength: length,
		Idempotent: method == "GET", Fields: []wire.Field{{Name: standin.HeaderToken, Value: requestToken}}}
	if body == nil {
		body = bytes.NewReader(nil)
	}
	return &fakeInbound{head: h, body: body, refused: make(chan struct{})}
}

func (in *fakeInbound) Head() wire.CallHead { return in.head }
func (in *fakeInbound) Body() io.Reader     { return in.body }
func (in *fakeInbound) Peer() link.Peer     { return link.Peer{ID: 1} }

func (in *fakeInbound) Reply(h wire.ReplyHead) (io.WriteCloser, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reply = &h
	return in, nil
}

func (in *fakeInbound) Refuse(r wire.Refusal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.refusal == nil && !in.complete {
		in.refusal = &r
		close(in.refused)
	}
}

func (in *fakeInbound) Doubt() bool {
	in.doubted.Store(in.head.TakesDoubt)
	return in.head.TakesDoubt
}

func (in *fakeInbound) Write(p []byte) (int, error) {
	if in.unblock != nil {
		<-in.unblock
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.refusal != nil {
		return 0, errRefused
	}
	return in.answer.Write(p)
}

func (in *fakeInbound) Close() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.complete = in.refusal == nil
	return nil
}

// serve serves a call with s and returns when it has ended.
func (in *fakeInbound) serve(tb testing.TB, s *Server) *fakeInbound {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.ServeCall(ctx, in)
	return in
}

func addrOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }
