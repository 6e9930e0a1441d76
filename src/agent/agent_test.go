package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
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
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

const soon = 10 * time.Second

var (
	keys  = registry.Keys{WatchPrefix: "mesh/", Config: "mesh/config", MemberPrefix: "mesh/member/", TombstonePrefix: "mesh/left/"}
	names = header.Names{RequestID: "X-Call-Id", Deadline: "X-Left-Ms", Caller: "X-From", Expect: "X-Meant", Instance: "X-Incarnation", NotRun: "X-Not-Run", Proof: "X-Proof", Fractions: true}
)

// backend is a backend server as the platform has them.
type backend struct {
	instance string
	addr     netip.AddrPort
	ran      atomic.Int64
	takes    atomic.Int64 // nanoseconds

	mu   sync.Mutex
	last http.Header
}

func (b *backend) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/health" {
		ctx.Response.Header.Set("X-Incarnation", b.instance)
		return
	}
	if e := string(ctx.Request.Header.Peek("X-Meant")); e != b.instance {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	b.ran.Add(1)
	h := http.Header{}
	for k, v := range ctx.Request.Header.All() {
		h.Add(string(k), string(v))
	}
	b.mu.Lock()
	b.last = h
	b.mu.Unlock()
	time.Sleep(time.Duration(b.takes.Load()))
	ctx.Response.Header.Set("X-Proof", "s-"+b.instance)
	ctx.Response.Header.SetBytesV("X-Call-Id", ctx.Request.Header.Peek("X-Call-Id"))
	ctx.SetBodyString("by " + b.instance)
}

// vm is an agent with its backend server.
type vm struct {
	*agent.Agent
	backend *backend
	callers string
	cancel  context.CancelFunc
	done    chan error
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

func startVM(c *qt.C, store registry.Store, name string, b *backend) *vm {
	v := &vm{backend: b, done: make(chan error, 1)}
	callers := listen(c)
	v.callers = callers.Addr().String()
	none := func(*fasthttp.RequestCtx) {}
	v.Agent = &agent.Agent{
		Settings: agent.Settings{
			Name: name, Service: "bookings", Domain: "mid-a", Region: "midlands", LinkMbps: 1000,
			Heartbeat: settings.Duration(time.Second), StopGrace: settings.Duration(6 * time.Second),
			Backend: agent.Backend{Addr: b.addr}, RetryBudget: agent.RetryBudget{Share: 0.2, Reserve: 60},
		},
		Store: store, Keys: keys, Headers: names, DecodeConfig: decode, Log: logr.Discard(),
		CallerListener: callers, LinkListener: listen(c), ReadyListener: listen(c), HeartbeatListener: listen(c), ReadyHandler: none, HeartbeatHandler: none,
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
		case <-time.After(soon):
			c.Error("the agent does not stop")
		}
	})
	return v
}

// decode reads "VERSION PREFIX".
func decode(value []byte) (*agent.Config, error) {
	var version uint64
	var prefix string
	if _, err := fmt.Sscan(string(value), &version, &prefix); err != nil {
		return nil, err
	}
	once := false
	return &agent.Config{
		Version: version, Connections: map[string]int{"bookings": 50}, Limits: dispatch.Limits{},
		Routes: []agent.Route{{Host: "a.example", Route: document.Route{
			Name: "r", Prefix: prefix, Idempotent: &once, Targets: []document.Target{{Service: "bookings", Weight: 1}},
			Deadline: document.Duration(3 * time.Second), Timeout: document.Duration(3 * time.Second), Objective: document.Duration(time.Second), Retry: document.Retry{Attempts: 2},
		}}},
	}, nil
}

func (v *vm) beat(c *qt.C, sequence uint64, leaving bool) {
	verdict, err := v.HandleHeartbeat(context.Background(), registry.Heartbeat{
		Instance: v.backend.instance, Addr: v.backend.addr, Service: "bookings", Domain: "mid-a", Slots: 4, Leaving: leaving, Sequence: sequence, StartedAt: time.UnixMilli(1000),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict, qt.Equals, registry.VerdictAccepted)
}

// call sends a request through an agent and returns the status and the body.
func (v *vm) call(path string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callers+path, bytes.NewReader([]byte("x")))
	if err != nil {
		return 0, "", err
	}
	req.Host = "a.example"
	req.Header.Set("X-Call-Id", "r-1")
	req.Header.Set("X-Left-Ms", "3000")
	req.Header.Set("X-From", "forged")
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
	for end := time.Now().Add(soon); !ok(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("not %s", what))
	}
}

func (v *vm) serves(path string) func() bool {
	return func() bool {
		status, _, err := v.call(path)
		return err == nil && status == http.StatusOK
	}
}

func TestTwoAgents(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	one, two := startVM(c, store.View(), "one", startBackend(c, "i-1")), startVM(c, store.View(), "two", startBackend(c, "i-2"))
	status, _, err := one.call("/a/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503, qt.Commentf("no configuration is known"))
	c.Check(one.IsReady(), qt.IsFalse)

	store.Put(keys.Config, []byte("1 /a/"))
	two.beat(c, 1, false)
	eventually(c, "served", one.serves("/a/"))
	c.Check(one.IsReady(), qt.IsTrue)
	ran := one.backend // found by its health endpoint before the other's heartbeat was heard of
	if ran.ran.Load() == 0 {
		ran = two.backend
	}
	ran.mu.Lock()
	h := ran.last
	ran.mu.Unlock()
	c.Check(h.Get("X-From"), qt.Equals, "bookings")
	c.Check(h.Get("X-Meant"), qt.Equals, ran.instance)
	c.Check(h.Get("X-Call-Id"), qt.Equals, "r-1")
	c.Check(h.Get("X-Left-Ms") <= "3000", qt.IsTrue)
	status, _, err = one.call("/b/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 404)

	store.Put(keys.Config, []byte("2 /b/"))
	eventually(c, "moved to the newer version", one.serves("/b/"))
	store.Put(keys.Config, []byte("1 /a/"))
	time.Sleep(1500 * time.Millisecond)
	c.Check(one.serves("/b/")(), qt.IsTrue, qt.Commentf("an older version is not taken"))
}

// A drain that one agent has acknowledged binds the one that is started in its place.
func TestDrainOutlivesTheAgent(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	store.Put(keys.Config, []byte("1 /a/"))
	b := startBackend(c, "i-1")
	first := startVM(c, store.View(), "one", b)
	first.beat(c, 1, false)
	eventually(c, "served", first.serves("/a/"))
	first.beat(c, 2, true)
	ran := b.ran.Load()
	status, _, err := first.call("/a/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503)
	second := startVM(c, store.View(), "one", b)
	second.beat(c, 1, false) // held up on its way since before the drain
	for range 20 {
		status, _, err := second.call("/a/")
		c.Assert(err, qt.IsNil)
		c.Check(status, qt.Equals, 503)
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(b.ran.Load(), qt.Equals, ran)
}

// A farewell that a restarted agent hears first binds it when the server's delayed heartbeat follows.
func TestFarewellBeforeAnyHeartbeat(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	b := startBackend(c, "i-1")
	v := startVM(c, store.View(), "one", b)
	verdict, err := v.HandleLeave(context.Background(), "i-1", time.Time{})
	c.Assert(err, qt.IsNil)
	c.Check(verdict, qt.Equals, registry.VerdictAccepted)
	c.Check(store.Has(keys.TombstonePrefix+"i-1"), qt.IsTrue, qt.Commentf("the acknowledgement outlives the agent"))
	store.Put(keys.Config, []byte("1 /a/"))
	v.beat(c, 15, false)
	eventually(c, "ready", v.IsReady)
	status, _, err := v.call("/a/")
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, 503)
	c.Check(b.ran.Load(), qt.Equals, int64(0))
}

// Found by LOST on hollins-valet trouble-3: under a planned stop each request that was read is answered, and the agent ends inside its grace.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	store.Put(keys.Config, []byte("1 /a/"))
	one, two := startVM(c, store.View(), "one", startBackend(c, "i-1")), startVM(c, store.View(), "two", startBackend(c, "i-2"))
	one.beat(c, 1, false)
	two.beat(c, 1, false)
	eventually(c, "served", one.serves("/a/"))
	one.backend.takes.Store(int64(300 * time.Millisecond))
	two.backend.takes.Store(int64(300 * time.Millisecond))
	var wg sync.WaitGroup
	var bad, served atomic.Int64
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
					bad.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	one.cancel()
	eventually(c, "not ready", func() bool { return !one.IsReady() })
	time.Sleep(1500 * time.Millisecond) // clients go elsewhere after two questions
	close(stopLoad)
	wg.Wait()
	err := <-one.done
	one.done <- err
	c.Check(err, qt.IsNil)
	c.Check(time.Since(began) < 6*time.Second, qt.IsTrue)
	c.Check(bad.Load(), qt.Equals, int64(0))
	c.Check(served.Load() > 10, qt.IsTrue)
}
