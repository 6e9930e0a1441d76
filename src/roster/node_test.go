package roster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const testTimeout = 20 * time.Second // limit for each wait, so that a wait without end fails instead of hanging

// memoryStore is a store in memory.
type memoryStore struct {
	kv.Store
	mu      sync.Mutex
	entries map[string]kv.Entry
}

func (s *memoryStore) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return e, problem.New(problem.NotFound, key, "no such key", "")
	}
	return e, nil
}

func (s *memoryStore) Swap(_ context.Context, key string, expect uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expect {
		return 0, problem.New(problem.Conflict, key, "record has another revision", "read it again")
	}
	s.entries[key] = kv.Entry{Key: key, Value: value, Revision: expect + 1}
	return expect + 1, nil
}

// directExchanger carries exchanges by calling the peer's ServeMessage.
type directExchanger struct {
	mu    sync.Mutex
	nodes map[uint64]*Node
}

func (d *directExchanger) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	d.mu.Lock()
	n := d.nodes[to.ID]
	d.mu.Unlock()
	if n == nil {
		return nil, problem.New(problem.Unavailable, to.Addr.String(), "no such member", "")
	}
	return n.ServeMessage(ctx, link.Peer{}, kind, payload)
}

// nodeGroup runs nodes on UDP sockets, with one store for all.
type nodeGroup struct {
	c         *qt.C
	store     *memoryStore
	exchanger *directExchanger
	stops     map[*Node]func()
}

func newNodeGroup(c *qt.C) *nodeGroup {
	g := &nodeGroup{
		c:         c,
		store:     &memoryStore{entries: map[string]kv.Entry{}},
		exchanger: &directExchanger{nodes: map[uint64]*Node{}},
		stops:     map[*Node]func(){},
	}
	c.Cleanup(func() {
		for _, stop := range g.stops {
			stop()
		}
	})
	return g
}

// start runs a node at an address, or at a free one if addr is the zero value.
func (g *nodeGroup) start(id uint64, addr netip.AddrPort) *Node {
	return g.startWith(id, addr, nil)
}

func (g *nodeGroup) startWith(id uint64, addr netip.AddrPort, onNewerVersion func(link.Peer, uint64)) *Node {
	if !addr.IsValid() {
		addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	conn, err := net.ListenPacket("udp", addr.String())
	g.c.Assert(err, qt.IsNil)
	n := &Node{
		Self: wire.Member{
			ID: id, Addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), Service: "bookings",
			Domain: fmt.Sprintf("mid-%d", id%2), Slots: 12, StartedAt: time.Now().UnixMilli(),
		},
		Conn: conn, Exchanger: g.exchanger, Store: g.store,
		Version: func() uint64 { return id }, OnNewerVersion: onNewerVersion,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	g.exchanger.mu.Lock()
	g.exchanger.nodes[id] = n
	g.exchanger.mu.Unlock()
	go func() { done <- n.Run(ctx) }()
	g.stops[n] = func() {
		cancel()
		g.c.Check(<-done, qt.IsNil)
	}
	return n
}

// stop ends a node, without notice unless Leave was called.
func (g *nodeGroup) stop(n *Node) {
	g.stops[n]()
	delete(g.stops, n)
}

// wait waits until every running node's view satisfies ok.
func (g *nodeGroup) wait(step string, ok func(*View) bool) {
	g.c.Helper()
	deadline := time.Now().Add(testTimeout)
	for n := range g.stops {
		for !ok(n.View()) {
			g.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s: node %d holds %v", step, n.Self.ID, n.View().Members))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestNodeUDP runs nodes on UDP sockets through joining, leaving, replacement and a kill, without leaking goroutines.
func TestNodeUDP(t *testing.T) {
	defer goleak.VerifyNone(t)
	// The subtest stops all nodes in its cleanup, before goleak checks.
	t.Run("cluster", func(t *testing.T) {
		g := newNodeGroup(qt.New(t))
		var nodes []*Node
		for id := range uint64(6) {
			nodes = append(nodes, g.start(id+1, netip.AddrPort{}))
		}
		g.wait("all joined", func(v *View) bool { return len(v.Members) == 6 })

		nodes[0].SetReady(true)
		g.wait("readiness announced", func(v *View) bool { m, _ := v.Member(1); return m.Ready })

		nodes[1].Leave(context.Background())
		g.wait("leave announced", func(v *View) bool { m, _ := v.Member(2); return m.State == wire.StateLeaving && !m.Ready })
		g.stop(nodes[1])
		g.wait("member that left removed", func(v *View) bool { _, ok := v.Member(2); return !ok })

		addr := nodes[2].Self.Addr
		g.stop(nodes[2])
		g.start(7, addr)
		g.wait("replaced member removed", func(v *View) bool {
			_, stillListed := v.Member(3)
			_, joined := v.Member(7)
			return joined && !stillListed
		})

		g.stop(nodes[3])
		g.wait("killed member removed", func(v *View) bool { _, ok := v.Member(4); return !ok })
	})
}

// TestNodeOnNewerVersion checks that a node reports the higher configuration version of a peer.
func TestNodeOnNewerVersion(t *testing.T) {
	c := qt.New(t)
	g := newNodeGroup(c)
	versions := make(chan uint64, 64)
	g.startWith(1, netip.AddrPort{}, func(_ link.Peer, v uint64) {
		select {
		case versions <- v:
		default:
		}
	})
	g.start(9, netip.AddrPort{})
	select {
	case v := <-versions:
		c.Assert(v, qt.Equals, uint64(9))
	case <-time.After(testTimeout):
		c.Fatal("OnNewerVersion was not called")
	}
}

// TestNodeMalformedDatagrams checks that malformed datagrams are dropped and counted.
func TestNodeMalformedDatagrams(t *testing.T) {
	valid, err := (&wire.Probe{Kind: wire.ProbePing, From: 5, To: 1}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	badState, err := (&wire.Probe{Kind: wire.ProbePing, From: 5, Mark: 9}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	huge := append([]byte{0x9c}, make([]byte, wire.MaxProbeSize)...)
	tests := map[string]struct {
		b    []byte
		drop bool
	}{
		"valid":                       {valid, false},
		"truncated":                   {valid[:len(valid)-3], true},
		"trailing byte":               {append(valid[:len(valid):len(valid)], 0), true},
		"empty":                       {nil, true},
		"oversized":                   {huge, true},
		"unknown state":               {badState, true},
		"list length beyond the data": {append(valid[:len(valid)-3:len(valid)-3], 0xdd, 0xff, 0xff, 0xff, 0xff), true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := &Node{Self: wire.Member{ID: 1}}
			n.once.Do(n.init)
			n.handleDatagram(tc.b, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
			c.Check(n.counters.malformed.Get() == 1, qt.Equals, tc.drop)
			c.Check(len(n.inbound) == 0, qt.Equals, tc.drop)
		})
	}
}
