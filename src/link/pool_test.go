package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Concurrent first calls to a peer open one link.
func TestConcurrentCallsShareDial(t *testing.T) {
	to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(echo)})
	p := startClient(t)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			_, _, err := call(testContext(t), p, to, []byte("x"))
			qt.Check(t, err, qt.IsNil)
		})
	}
	wg.Wait()
	qt.Assert(t, p.counters.dials.Get(), qt.Equals, uint64(1))
}

// A graceful stop completes the calls in flight and refuses new ones as not run, so that callers can retry elsewhere.
func TestGracefulStop(t *testing.T) {
	started, release := make(chan struct{}, 100), make(chan struct{})
	server := &Pool{Self: 2, Calls: callHandlerFunc(func(ctx context.Context, in InboundCall) {
		if in.Head().BodyLength > 0 { // calls without a body only probe whether the stop has begun
			started <- struct{}{}
			<-release
		}
		echo(ctx, in)
	})}
	to, stop := startPool(t, server)
	p := startClient(t)
	var results []chan []byte
	body := make([]byte, 2*initialWindow)
	for range 20 {
		ch := make(chan []byte, 1)
		results = append(results, ch)
		go func() {
			got, _, err := call(testContext(t), p, to, body)
			qt.Check(t, err, qt.IsNil)
			ch <- got
		}()
	}
	for range 20 {
		<-started
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	eventually(t, "new calls are refused", func() bool {
		_, out, _ := call(testContext(t), p, to, nil)
		r, ok := out.(Refused)
		return ok && !r.Refusal.MayHaveRun
	})
	close(release)
	for _, ch := range results {
		qt.Assert(t, len(<-ch), qt.Equals, len(body))
	}
	<-stopped
}

func eventually(tb testing.TB, what string, f func() bool) {
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("timed out waiting until " + what)
		}
	}
}

// Calls still in flight when the grace period ends are cut, as calls that may have run, and named in the log.
func TestGracePeriodExpiry(t *testing.T) {
	started := make(chan struct{})
	var mu sync.Mutex
	var log strings.Builder
	server := &Pool{Self: 2, Grace: time.Millisecond, Log: funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		log.WriteString(line)
	}, funcr.Options{}), Calls: callHandlerFunc(func(ctx context.Context, _ InboundCall) {
		close(started)
		<-ctx.Done()
	})}
	to, stop := startPool(t, server)
	p := startClient(t)
	outcome := make(chan Outcome, 1)
	go func() { outcome <- p.Call(testContext(t), to, wire.CallHead{Target: to.ID, TraceID: "r-7"}, nil) }()
	<-started
	stop()
	qt.Assert(t, <-outcome, qt.Equals, Outcome(Refused{wire.Refusal{Reason: wire.ReasonLinkLost, MayHaveRun: true}}))
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, strings.Contains(log.String(), `"carried"=1 "reason"="daemon is stopping" "request_ids"=["r-7"]`), qt.IsTrue, qt.Commentf("%s", log.String()))
}

// Kill ends calls in flight as calls that may have run; later calls have not run.
func TestKill(t *testing.T) {
	server := &Pool{Self: 2, Calls: callHandlerFunc(blockUntilCancelled)}
	to, stop := startPool(t, server)
	p := startClient(t)
	ch := startCall(t, p, to, "a", nil, 0)
	eventually(t, "the call has arrived", func() bool { return server.callWorkers.Workers() == 1 })
	server.Kill()
	stop()
	qt.Assert(t, (<-ch).refusal(t).MayHaveRun, qt.IsTrue)
	r := (<-startCall(t, p, to, "b", nil, 0)).refusal(t)
	qt.Assert(t, r.MayHaveRun, qt.IsFalse)
}

func TestIdleTimeout(t *testing.T) {
	server := &Pool{Self: 2, Calls: callHandlerFunc(echo)}
	to, _ := startPool(t, server)
	p := &Pool{Self: 1, Limits: Limits{IdleTimeout: time.Millisecond, PingInterval: 5 * time.Millisecond}}
	t.Cleanup(p.Kill)
	for range 2 {
		_, _, err := call(testContext(t), p, to, []byte("x"))
		qt.Assert(t, err, qt.IsNil)
		eventually(t, "all links are closed", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			return server.acceptedLinks == 0 && len(server.conns) == 0
		})
	}
}

// When a few hundred daemons reconnect at once, some connections staying silent, links and pending handshakes stay within their limits, calls in flight continue and every daemon is served.
func TestReconnectStorm(t *testing.T) {
	const daemons = 300
	limits := Limits{Links: daemons + 1, Handshakes: 16}
	server := &Pool{Self: 2, Calls: callHandlerFunc(echo), Limits: limits}
	to, _ := startPool(t, server)
	silent := make([]net.Conn, 5*limits.Handshakes) // never say hello
	for i := range silent {
		nc, err := net.Dial("tcp", to.Addr.String())
		qt.Assert(t, err, qt.IsNil)
		silent[i] = nc
		defer func() { _ = nc.Close() }()
	}
	var wg sync.WaitGroup
	for i := range daemons {
		p := &Pool{Self: uint64(100 + i)}
		t.Cleanup(p.Kill)
		wg.Go(func() { callUntilServed(t, p, to, fmt.Sprint(i)) })
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	for {
		server.mu.Lock()
		pending, acceptedLinks := len(server.handshaking), server.acceptedLinks
		server.mu.Unlock()
		qt.Assert(t, pending <= limits.Handshakes, qt.IsTrue)
		qt.Assert(t, acceptedLinks <= limits.Links, qt.IsTrue)
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// callUntilServed retries a call until it is served. Every refusal must be as not run.
func callUntilServed(t *testing.T, p *Pool, to Peer, body string) {
	ctx := testContext(t)
	for ctx.Err() == nil {
		got, out, err := call(ctx, p, to, []byte(body))
		if r, ok := out.(Refused); ok {
			qt.Check(t, r.Refusal.MayHaveRun, qt.IsFalse)
			time.Sleep(time.Duration(max(1, r.Refusal.RetryAfterMS)) * time.Millisecond)
			continue
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, body)
		return
	}
	t.Error("call was not served in time")
}

func TestLinkLimit(t *testing.T) {
	to, _ := startPool(t, &Pool{Self: 2, Calls: callHandlerFunc(echo)})
	p := &Pool{Self: 1, Limits: Limits{Links: 1}}
	t.Cleanup(p.Kill)
	_, _, err := call(testContext(t), p, to, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	r := (<-startCall(t, p, Peer{ID: 3, Addr: loopbackAddr(1)}, "a", nil, 0)).refusal(t)
	qt.Assert(t, r, qt.Equals, wire.Refusal{Reason: wire.ReasonLimit})
}

func TestInsecureLinks(t *testing.T) {
	remote := net.TCPAddrFromAddrPort(netip.MustParseAddrPort("192.0.2.1:7000"))
	local := net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:7000"))
	qt.Assert(t, (&Pool{}).checkInsecure(local), qt.IsNil)
	qt.Assert(t, (&Pool{}).checkInsecure(remote), qt.IsNotNil)
	qt.Assert(t, (&Pool{Insecure: true}).checkInsecure(remote), qt.IsNil)
}
