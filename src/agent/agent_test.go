package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

const eventuallyTimeout = 10 * time.Second

var (
	testKeys    = registry.Keys{WatchPrefix: "mesh/", Config: "mesh/config", MemberPrefix: "mesh/member/", TombstonePrefix: "mesh/left/", ProbePrefix: "mesh/probe/"}
	headerNames = header.Names{RequestID: "X-Call-Id", Deadline: "X-Left-Ms", Caller: "X-From", Expect: "X-Meant", Instance: "X-Instance-Id", NotRun: "X-Not-Run", Proof: "X-Proof", Limit: "X-Limit", Leaving: "X-Leaving", Fractions: true}
)

// backend is a backend server that answers 421 to a request for another instance, and counts and delays the calls that it executes.
type backend struct {
	instance    string
	addr        netip.AddrPort
	calls       atomic.Int64 // calls executed
	serviceTime atomic.Int64 // nanoseconds
	leaving     atomic.Bool  // its answers say that it is leaving
	failShare   atomic.Int64 // percent of the calls that it answers with 500
	limit       atomic.Int64 // calls a second that its answers name, 0 for none
	answerSize  atomic.Int64 // bytes of its answers, 0 for a short one that names it

	mu         sync.Mutex
	lastHeader http.Header
}

func (b *backend) serve(ctx *fasthttp.RequestCtx) {
	if n := b.limit.Load(); n > 0 {
		ctx.Response.Header.Set("X-Limit", fmt.Sprint(n))
	}
	if string(ctx.Path()) == "/health" {
		ctx.Response.Header.Set("X-Instance-Id", b.instance)
		return
	}
	if e := string(ctx.Request.Header.Peek("X-Meant")); e != b.instance {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	b.calls.Add(1)
	h := http.Header{}
	for k, v := range ctx.Request.Header.All() {
		h.Add(string(k), string(v))
	}
	b.mu.Lock()
	b.lastHeader = h
	b.mu.Unlock()
	time.Sleep(time.Duration(b.serviceTime.Load()))
	if b.leaving.Load() {
		ctx.Response.Header.Set("X-Leaving", "1")
	}
	if rand.Int64N(100) < b.failShare.Load() {
		ctx.SetStatusCode(http.StatusInternalServerError)
	}
	ctx.Response.Header.Set("X-Proof", "s-"+b.instance)
	ctx.Response.Header.SetBytesV("X-Call-Id", ctx.Request.Header.Peek("X-Call-Id"))
	ctx.SetBodyString("by " + b.instance)
	if n := b.answerSize.Load(); n > 0 {
		ctx.SetBody(make([]byte, n))
	}
}

// vm is an agent with its backend server.
type vm struct {
	*agent.Agent
	backend    *backend
	callerAddr string
	cancel     context.CancelFunc
	done       chan error
}

func listen(c *qt.C) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return l
}

func startBackend(c *qt.C, instance string) *backend {
	l := listen(c)
	b := &backend{instance: instance, addr: l.Addr().(*net.TCPAddr).AddrPort()}
	s := &fasthttp.Server{Handler: b.serve, CloseOnShutdown: true}
	go func() { _ = s.Serve(l) }()
	c.Cleanup(func() { _ = s.Shutdown() })
	return b
}

func startVM(c *qt.C, store registry.Store, name string, b *backend, options ...func(*agent.Agent)) *vm {
	v := &vm{backend: b, done: make(chan error, 1)}
	callers := listen(c)
	v.callerAddr = callers.Addr().String()
	noHandler := func(*fasthttp.RequestCtx) {}
	v.Agent = &agent.Agent{
		Settings: agent.Settings{
			Name: name, Service: "bookings", Domain: "mid-a", Region: "midlands", LinkMbps: 1000,
			Heartbeat: settings.Duration(time.Second), StopGrace: settings.Duration(6 * time.Second),
			Backend: agent.Backend{Addr: b.addr}, RetryBudget: agent.RetryBudget{Share: 0.2, Reserve: 60},
		},
		Store: store, Keys: testKeys, Headers: headerNames, DecodeConfig: decodeConfig, Log: logr.Discard(),
		CallerListener: callers, LinkListener: listen(c), ReadyListener: listen(c), HeartbeatListener: listen(c), ReadyHandler: noHandler, HeartbeatHandler: noHandler,
	}
	for _, o := range options {
		o(v.Agent)
	}
	v.Build()
	var ctx context.Context
	ctx, v.cancel = context.WithCancel(context.Background())
	go func() { v.done <- v.Run(ctx) }()
	c.Cleanup(func() {
		v.cancel()
		select {
		case err := <-v.done:
			c.Check(err, qt.IsNil)
		case <-time.After(eventuallyTimeout):
			c.Error("agent did not stop")
		}
	})
	return v
}

// decodeConfig parses "VERSION PREFIX" into a configuration with one route, whose calls may be
// repeated if " repeats" follows.
func decodeConfig(value []byte) (*agent.Config, error) {
	var version uint64
	var prefix string
	if _, err := fmt.Sscan(string(value), &version, &prefix); err != nil {
		return nil, err
	}
	idempotent := strings.HasSuffix(string(value), " repeats")
	return &agent.Config{
		Version: version, Connections: map[string]int{"bookings": 50}, Limits: dispatch.Limits{},
		Routes: []agent.Route{{Host: "a.example", Route: document.Route{
			Name: "r", Prefix: prefix, Idempotent: &idempotent, Targets: []document.Target{{Service: "bookings", Weight: 1}},
			Deadline: document.Duration(3 * time.Second), Timeout: document.Duration(3 * time.Second), Objective: document.Duration(time.Second), Retry: document.Retry{Attempts: 2},
		}}},
	}, nil
}

func (v *vm) sendHeartbeat(c *qt.C, sequence uint64, leaving bool) {
	verdict, err := v.HandleHeartbeat(context.Background(), registry.Heartbeat{
		Instance: v.backend.instance, Addr: v.backend.addr, Service: "bookings", Domain: "mid-a", Slots: 4, Leaving: leaving, Sequence: sequence, StartedAt: time.UnixMilli(1000),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict, qt.Equals, registry.VerdictAccepted)
}

// call sends a short request through the VM's agent and returns the status and the body.
func (v *vm) call(path string) (int, string, error) { return v.post(path, []byte("x")) }

// post sends a request with the given body through the VM's agent and returns the status and the body.
func (v *vm) post(path string, body []byte) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callerAddr+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "a.example"
	req.Header.Set("X-Call-Id", "r-1")
	req.Header.Set("X-Left-Ms", "3000")
	req.Header.Set("X-From", "forged") // the agent must replace this value
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(eventuallyTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("timed out waiting until %s", what))
	}
}

// servedFunc returns a function that reports whether a call to path succeeds.
func (v *vm) servedFunc(path string) func() bool {
	return func() bool {
		status, _, err := v.call(path)
		return err == nil && status == http.StatusOK
	}
}

// The agent must replace the headers of the caller that it sets itself, and serve by the newest configuration: an older one must be rejected.
func TestCallHeadersAndConfigVersions(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	one, two := startVM(c, store.View(), "one", startBackend(c, "i-1")), startVM(c, store.View(), "two", startBackend(c, "i-2"))
	status, _, err := one.call("/a/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503, qt.Commentf("before the first configuration"))
	c.Check(one.IsReady(), qt.IsFalse)

	store.Put(testKeys.Config, []byte("1 /a/"))
	two.sendHeartbeat(c, 1, false)
	eventually(c, "the call is served", one.servedFunc("/a/"))
	c.Check(one.IsReady(), qt.IsTrue)
	target := one.backend // sends no heartbeat, but may serve the call once its agent has found it by the health endpoint
	if target.calls.Load() == 0 {
		target = two.backend
	}
	target.mu.Lock()
	h := target.lastHeader
	target.mu.Unlock()
	c.Check(h.Get("X-From"), qt.Equals, "bookings")
	c.Check(h.Get("X-Meant"), qt.Equals, target.instance)
	c.Check(h.Get("X-Call-Id"), qt.Equals, "r-1")
	c.Check(h.Get("X-Left-Ms") <= "3000", qt.IsTrue)
	status, _, err = one.call("/b/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 404)

	store.Put(testKeys.Config, []byte("2 /b/"))
	eventually(c, "the newer version is in force", one.servedFunc("/b/"))
	store.Put(testKeys.Config, []byte("1 /a/"))
	time.Sleep(1500 * time.Millisecond)
	c.Check(one.servedFunc("/b/")(), qt.IsTrue, qt.Commentf("an older version must be rejected"))
}

// A second agent for the same backend server must honor a drain that the first has acknowledged. It stands for a restart; the first is left running.
func TestDrainSurvivesAgentRestart(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	store.Put(testKeys.Config, []byte("1 /a/"))
	b := startBackend(c, "i-1")
	first := startVM(c, store.View(), "one", b)
	first.sendHeartbeat(c, 1, false)
	eventually(c, "the call is served", first.servedFunc("/a/"))
	first.sendHeartbeat(c, 2, true)
	callsBefore := b.calls.Load()
	status, _, err := first.call("/a/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503)
	second := startVM(c, store.View(), "one", b)
	second.sendHeartbeat(c, 1, false) // sent before the drain, received after it
	for range 20 {
		status, _, err := second.call("/a/")
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, 503)
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(b.calls.Load(), qt.Equals, callsBefore)
}

// Planned removal during an outage of the store: a drain that cannot be acknowledged must not take
// the backend server out of use, and once the store is back, the next heartbeat must.
func TestDrainWithoutStore(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	store.Put(testKeys.Config, []byte("1 /a/"))
	b := startBackend(c, "i-1")
	views := []*standin.RegistryStore{store.View(), store.View()}
	setFail := func(err error) {
		for _, v := range views {
			v.Set(func() { v.Fail = err })
		}
	}
	one, two := startVM(c, views[0], "one", b), startVM(c, views[1], "two", startBackend(c, "i-2"))
	one.sendHeartbeat(c, 1, false)
	eventually(c, "the call is served by the other VM's agent", two.servedFunc("/a/"))
	setFail(problem.New(problem.Unavailable, "store", "down", "start it"))
	_, err := one.HandleHeartbeat(context.Background(), registry.Heartbeat{
		Instance: "i-1", Addr: b.addr, Service: "bookings", Domain: "mid-a", Slots: 4, Leaving: true, Sequence: 2, StartedAt: time.UnixMilli(1000),
	})
	c.Assert(err, qt.Not(qt.IsNil))
	before := b.calls.Load()
	for range 20 {
		c.Assert(two.servedFunc("/a/")(), qt.IsTrue)
	}
	c.Check(b.calls.Load() > before, qt.IsTrue)
	setFail(nil)
	one.sendHeartbeat(c, 3, true)
	c.Check(store.Has(testKeys.TombstonePrefix+"i-1"), qt.IsTrue)
	before = b.calls.Load()
	for range 5 {
		_, _, err := two.call("/a/")
		c.Assert(err, qt.IsNil)
	}
	c.Check(b.calls.Load(), qt.Equals, before)
}

// A restarted agent that receives a leave before any heartbeat must not admit calls when a delayed heartbeat follows.
func TestLeaveBeforeFirstHeartbeat(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	b := startBackend(c, "i-1")
	v := startVM(c, store.View(), "one", b)
	verdict, err := v.HandleLeave(context.Background(), "i-1", time.Time{})
	c.Assert(err, qt.IsNil)
	c.Check(verdict, qt.Equals, registry.VerdictAccepted)
	c.Check(store.Has(testKeys.TombstonePrefix+"i-1"), qt.IsTrue, qt.Commentf("the store must hold an acknowledged leave, so that it outlives the agent"))
	store.Put(testKeys.Config, []byte("1 /a/"))
	v.sendHeartbeat(c, 15, false)
	eventually(c, "the agent is ready", v.IsReady)
	status, _, err := v.call("/a/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503)
	c.Check(b.calls.Load(), qt.Equals, int64(0))
}

// During a planned stop the agent must answer each request that it has read, and end within StopGrace. Guards against requests lost at a stop.
func TestStopAnswersInFlightRequests(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	store.Put(testKeys.Config, []byte("1 /a/"))
	one, two := startVM(c, store.View(), "one", startBackend(c, "i-1")), startVM(c, store.View(), "two", startBackend(c, "i-2"))
	one.sendHeartbeat(c, 1, false)
	two.sendHeartbeat(c, 1, false)
	eventually(c, "the call is served", one.servedFunc("/a/"))
	one.backend.serviceTime.Store(int64(300 * time.Millisecond))
	two.backend.serviceTime.Store(int64(300 * time.Millisecond))
	var wg sync.WaitGroup
	var failed, served atomic.Int64
	stopLoad := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stopLoad:
					return
				default:
				}
				status, _, err := one.call("/a/")
				switch {
				case err == nil && status == http.StatusOK:
					served.Add(1)
				case err != nil || (status != http.StatusServiceUnavailable):
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopStarted := time.Now()
	one.cancel()
	eventually(c, "the agent is not ready", func() bool { return !one.IsReady() })
	time.Sleep(1500 * time.Millisecond) // stands for the two failed readiness probes after which clients go elsewhere
	close(stopLoad)
	wg.Wait()
	err := <-one.done
	one.done <- err // for the cleanup of startVM
	c.Check(err, qt.IsNil)
	c.Check(time.Since(stopStarted) < 6*time.Second, qt.IsTrue)
	c.Check(failed.Load(), qt.Equals, int64(0))
	c.Check(served.Load() > 10, qt.IsTrue)
}
