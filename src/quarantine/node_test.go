package quarantine

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

const poison = 1

// testMesh connects nodes directly.
type testMesh struct {
	nodes map[uint64]*Node
	cut   atomic.Bool
}

func newTestMesh(n uint64) *testMesh {
	m := &testMesh{nodes: map[uint64]*Node{}}
	for id := uint64(1); id <= n; id++ {
		m.nodes[id] = &Node{Self: id, Exchanger: m, Members: func() []wire.Member {
			var out []wire.Member
			for id := uint64(1); id <= n; id++ {
				out = append(out, wire.Member{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1")})
			}
			return out
		}}
	}
	return m
}

// Exchange implements link.Exchanger.
func (m *testMesh) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	if m.cut.Load() {
		return nil, errors.New("cut")
	}
	return m.nodes[to.ID].ServeMessage(ctx, link.Peer{}, kind, payload)
}

func eventually(c *qt.C, what string, ok func() bool) {
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("timed out waiting until %s", what))
	}
}

func refuses(n *Node) bool {
	_, refused := n.Refuses(poison)
	return refused
}

// A daemon that was cut off learns what it has missed with a call from a peer that knows it, also if
// its first question fails; an answer at any daemon clears the request at all.
func TestNodeLearnsWhatItMissed(t *testing.T) {
	c := qt.New(t)
	m := newTestMesh(3)
	one, two, three := m.nodes[1], m.nodes[2], m.nodes[3]
	m.cut.Store(true)
	one.Crashed("i-1", []uint64{poison, 2})
	one.Crashed("i-2", []uint64{poison, 3})
	one.Crashed("i-3", []uint64{poison, 4})
	c.Check(refuses(one), qt.IsTrue)
	two.Compare(link.Peer{ID: 1}, one.Digest())
	time.Sleep(2 * minCompareDelay)
	c.Check(refuses(two), qt.IsFalse)
	m.cut.Store(false)
	eventually(c, "a call tells the second daemon", func() bool {
		two.Compare(link.Peer{ID: 1}, one.Digest())
		return refuses(two)
	})
	c.Check(two.Digest(), qt.Equals, one.Digest())
	three.Compare(link.Peer{ID: 2}, two.Digest())
	eventually(c, "and the third one", func() bool { return refuses(three) })

	three.Answered(poison, time.Millisecond)
	eventually(c, "all allow it again", func() bool { return !refuses(one) && !refuses(two) && !refuses(three) })
	c.Check(one.Entries(), qt.HasLen, 0)
	for _, n := range m.nodes {
		n.pool.StopAndWait()
	}
}
