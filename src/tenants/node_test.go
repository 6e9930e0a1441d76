package tenants

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

var testQuota = Quota{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// network connects nodes without sockets.
type network struct {
	mu    sync.Mutex
	nodes map[uint64]*Node
	cut   map[uint64]bool
}

func (n *network) Members() []wire.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []wire.Member
	for id := range n.nodes {
		out = append(out, wire.Member{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	return out
}

// endpoint is one node's view of the network.
type endpoint struct {
	network *network
	self    uint64
}

// Exchange implements link.Exchanger.
func (e endpoint) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	e.network.mu.Lock()
	n := e.network.nodes[to.ID]
	if e.network.cut[to.ID] || e.network.cut[e.self] {
		n = nil
	}
	e.network.mu.Unlock()
	if n == nil {
		return nil, errors.New("unreachable")
	}
	return n.ServeMessage(ctx, link.Peer{ID: e.self}, kind, payload)
}

// start starts nodes that share a limit; log receives the lines of node 1.
func start(t *testing.T, count int, l Limit, log func(string)) *network {
	net := &network{nodes: map[uint64]*Node{}, cut: map[uint64]bool{}}
	for id := uint64(1); id <= uint64(count); id++ {
		n := &Node{Self: id, Members: net.Members, Exchanger: endpoint{net, id}, Quota: testQuota, Metrics: metrics.NewSet()}
		if id == 1 && log != nil {
			n.Log = funcr.New(func(_, args string) { log(args) }, funcr.Options{})
		}
		n.Configure(1, map[string]Limit{"acme": l, "free": {}})
		net.nodes[id] = n
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range net.nodes {
		wg.Go(func() { _ = n.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return net
}

// Guards against nodes that admit more than the limit together, refuse without a time to come back,
// or leave a tenant without a limit waiting.
func TestNodesShareALimit(t *testing.T) {
	var mu sync.Mutex
	var lines []string
	net := start(t, 5, Limit{RatePerSecond: 50, Burst: 10}, func(s string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, s)
	})
	time.Sleep(3 * time.Second) // the nodes delegate only after that
	admitted, refused, began := 0, 0, time.Now()
	for time.Since(began) < 3*time.Second {
		for id := range net.nodes {
			retryAfter, ok := net.nodes[id].Take(context.Background(), time.Now(), "acme", 30*time.Millisecond)
			if ok {
				admitted++
				continue
			}
			refused++
			qt.Assert(t, retryAfter > 0 && retryAfter <= maxRetry, qt.IsTrue, qt.Commentf("%s", retryAfter))
		}
		time.Sleep(time.Millisecond)
	}
	bound := (50*5+10)*1.1 + 20
	t.Logf("admitted %d of at most %.0f in 5 s, refused %d", admitted, bound, refused)
	qt.Check(t, float64(admitted) <= bound, qt.IsTrue)
	qt.Check(t, admitted >= 140, qt.IsTrue, qt.Commentf("the rate for 3 s is 150"))
	qt.Check(t, refused > 0, qt.IsTrue)
	_, ok := net.nodes[1].Take(context.Background(), time.Now(), "free", 0)
	qt.Check(t, ok, qt.IsTrue)

	time.Sleep(limitedTime + 500*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	text := strings.Join(lines, "\n")
	qt.Check(t, strings.Count(text, "tenant is limited"), qt.Equals, 1, qt.Commentf("%s", text))
	qt.Check(t, strings.Count(text, "no longer limited"), qt.Equals, 1, qt.Commentf("%s", text))
}

// Guards against a lost granter that ends all admission.
func TestAnotherNodeBecomesTheGranter(t *testing.T) {
	net := start(t, 5, Limit{RatePerSecond: 100, Burst: 100}, nil)
	time.Sleep(3 * time.Second)
	granter := uint64(0)
	for id, n := range net.nodes {
		n.mu.Lock()
		if n.core.allocator.Delegating() >= 4 {
			granter = id
		}
		n.mu.Unlock()
	}
	qt.Assert(t, granter, qt.Not(qt.Equals), uint64(0))
	net.mu.Lock()
	net.cut[granter] = true
	net.mu.Unlock()
	time.Sleep(3 * time.Second)
	for id, n := range net.nodes {
		_, ok := n.Take(context.Background(), time.Now(), "acme", 50*time.Millisecond)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("node %d, granter %d is cut off", id, granter))
	}
}

// Guards against labels for each of many tenants.
func TestCountersHaveBoundedLabels(t *testing.T) {
	set := metrics.NewSet()
	n := &Node{Self: 1, Members: func() []wire.Member { return nil }, Metrics: set}
	limits := map[string]Limit{}
	for i := range 500 {
		limits[fmt.Sprint("tenant-", i)] = Limit{RatePerSecond: float64(i)}
	}
	n.Configure(1, limits)
	for i := range 500 {
		n.Take(context.Background(), time.Now(), fmt.Sprint("tenant-", i), 0)
	}
	var b strings.Builder
	set.WritePrometheus(&b)
	qt.Check(t, strings.Count(b.String(), "yuccaport_tenant_refused_total"), qt.Equals, maxLabels+1)
	qt.Check(t, b.String(), qt.Contains, `yuccaport_tenant_refused_total{tenant="tenant-499"} 1`)
}

// Guards against an older configuration that replaces a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	n := &Node{Self: 1, Members: func() []wire.Member { return nil }}
	n.Configure(2, map[string]Limit{"acme": {RatePerSecond: 1}})
	n.Configure(1, map[string]Limit{})
	_, ok := n.Take(context.Background(), time.Now(), "acme", 0)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against malformed reports that crash a node.
func TestMalformedReport(t *testing.T) {
	n := &Node{Self: 1, Members: func() []wire.Member { return nil }}
	_, err := n.ServeMessage(context.Background(), link.Peer{ID: 2}, link.KindTenant, []byte{1, 2})
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against allocations for each request.
func BenchmarkTake(b *testing.B) {
	for name, rate := range map[string]float64{"admitted": 1e12, "limited": 1e-6} {
		b.Run(name, func(b *testing.B) {
			n := &Node{Self: 1, Members: func() []wire.Member { return nil }}
			n.Configure(1, map[string]Limit{"acme": {RatePerSecond: rate}})
			c := n.core.share.byName["acme"]
			if rate > 1 {
				c.held = 1 << 60
				n.core.share.granter = 1
			} else {
				c.deniedUntil = bootTime().Add(time.Hour)
			}
			ctx, now := context.Background(), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				n.Take(ctx, now, "acme", 0)
			}
			if testing.AllocsPerRun(100, func() { n.Take(ctx, now, "acme", 0) }) != 0 {
				b.Fatal("Take allocates")
			}
		})
	}
}
