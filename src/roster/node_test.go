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

const guard = 20 * time.Second // against hanging

// memory is a store of records in memory.
type memory struct {
	kv.Store
	mu      sync.Mutex
	entries map[string]kv.Entry
}

func (s *memory) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return e, problem.New(problem.NotFound, key, "no such key", "")
	}
	return e, nil
}

func (s *memory) Swap(_ context.Context, key string, expect uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != expect {
		return 0, problem.New(problem.Conflict, key, "other revision", "read it again")
	}
	s.entries[key] = kv.Entry{Key: key, Value: value, Revision: expect + 1}
	return expect + 1, nil
}

// direct carries exchanges by a call.
type direct struct {
	mu    sync.Mutex
	nodes map[uint64]*Node
}

func (d *direct) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	d.mu.Lock()
	n := d.nodes[to.ID]
	d.mu.Unlock()
	if n == nil {
		return nil, problem.New(problem.Unavailable, to.Addr.String(), "no such member", "")
	}
	return n.ServeMessage(ctx, link.Peer{}, kind, payload)
}

// fleet runs nodes on sockets of their own.
type fleet struct {
	c     *qt.C
	store *memory
	link  *direct
	stops map[*Node]func()
}

func newFleet(c *qt.C) *fleet {
	f := &fleet{
		c:     c,
		store: &memory{entries: map[string]kv.Entry{}},
		link:  &direct{nodes: map[uint64]*Node{}},
		stops: map[*Node]func(){},
	}
	c.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	return f
}

// start runs a node at an address, or at a free one when it is the zero value.
func (f *fleet) start(id uint64, addr netip.AddrPort) *Node {
	return f.startWith(id, addr, nil)
}

func (f *fleet) startWith(id uint64, addr netip.AddrPort, onAhead func(link.Peer, uint64)) *Node {
	if !addr.IsValid() {
		addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	conn, err := net.ListenPacket("udp", addr.String())
	f.c.Assert(err, qt.IsNil)
	n := &Node{
		Self: wire.Member{
			ID: id, Addr: conn.LocalAddr().(*net.UDPAddr).AddrPort(), Service: "bookings",
			Domain: fmt.Sprintf("mid-%d", id%2), Slots: 12, StartedAt: time.Now().UnixMilli(),
		},
		Conn: conn, Exchanger: f.link, Store: f.store,
		Version: func() uint64 { return id }, OnNewerVersion: onAhead,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	f.link.mu.Lock()
	f.link.nodes[id] = n
	f.link.mu.Unlock()
	go func() { done <- n.Run(ctx) }()
	f.stops[n] = func() {
		cancel()
		f.c.Check(<-done, qt.IsNil)
	}
	return n
}

// stop ends a node without notice, unless it has left before.
func (f *fleet) stop(n *Node) {
	f.stops[n]()
	delete(f.stops, n)
}

// wait waits until every running node's view satisfies ok.
func (f *fleet) wait(what string, ok func(*View) bool) {
	f.c.Helper()
	deadline := time.Now().Add(guard)
	for n := range f.stops {
		for !ok(n.View()) {
			f.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s: node %d holds %v", what, n.Self.ID, n.View().Members))
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func TestNodesOnSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("fleet", func(t *testing.T) {
		f := newFleet(qt.New(t))
		var nodes []*Node
		for id := range uint64(6) {
			nodes = append(nodes, f.start(id+1, netip.AddrPort{}))
		}
		f.wait("all join", func(v *View) bool { return len(v.Members) == 6 })

		nodes[0].SetReady(true)
		f.wait("readiness travels", func(v *View) bool { m, _ := v.Member(1); return m.Ready })

		nodes[1].Leave(context.Background())
		f.wait("leaving travels", func(v *View) bool { m, _ := v.Member(2); return m.State == wire.StateLeaving && !m.Ready })
		f.stop(nodes[1])
		f.wait("the one that left is gone", func(v *View) bool { _, ok := v.Member(2); return !ok })

		addr := nodes[2].Self.Addr
		f.stop(nodes[2])
		f.start(7, addr)
		f.wait("the replaced one is gone", func(v *View) bool {
			_, old := v.Member(3)
			_, fresh := v.Member(7)
			return fresh && !old
		})

		f.stop(nodes[3])
		f.wait("the killed one is gone", func(v *View) bool { _, ok := v.Member(4); return !ok })
	})
}

func TestAheadIsTold(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	ahead := make(chan uint64, 64)
	f.startWith(1, netip.AddrPort{}, func(_ link.Peer, v uint64) {
		select {
		case ahead <- v:
		default:
		}
	})
	f.start(9, netip.AddrPort{})
	select {
	case v := <-ahead:
		c.Assert(v, qt.Equals, uint64(9))
	case <-time.After(guard):
		c.Fatal("not told")
	}
}

func TestBadDatagramsAreDroppedAndCounted(t *testing.T) {
	good, err := (&wire.Probe{Kind: wire.ProbePing, From: 5, To: 1}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	badState, err := (&wire.Probe{Kind: wire.ProbePing, From: 5, Mark: 9}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	huge := append([]byte{0x9c}, make([]byte, wire.MaxProbeSize)...)
	tests := map[string]struct {
		b    []byte
		drop bool
	}{
		"whole":            {good, false},
		"cut":              {good[:len(good)-3], true},
		"trailing":         {append(good[:len(good):len(good)], 0), true},
		"empty":            {nil, true},
		"over size":        {huge, true},
		"unknown state":    {badState, true},
		"long list stated": {append(good[:len(good)-3:len(good)-3], 0xdd, 0xff, 0xff, 0xff, 0xff), true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := &Node{Self: wire.Member{ID: 1}}
			n.once.Do(n.init)
			n.accept(tc.b, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
			c.Check(n.counters.malformed.Get() == 1, qt.Equals, tc.drop)
			c.Check(len(n.inbound) == 0, qt.Equals, tc.drop)
		})
	}
}
