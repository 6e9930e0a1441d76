package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

const testTimeout = 30 * time.Second // limit for any wait in a test, so that a wait without end fails instead of hanging

// fakeExchanger connects distributors without sockets.
type fakeExchanger struct {
	self  link.Peer
	peers map[uint64]*Distributor
}

func (e *fakeExchanger) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	d := e.peers[to.ID]
	if d == nil {
		return nil, problem.New(problem.Unavailable, to.Addr.String(), "no such member", "")
	}
	return d.ServeMessage(ctx, e.self, kind, payload)
}

// fleet is a set of distributors that share a store in memory.
type fleet struct {
	store           *standin.Keyspace
	distributors    map[uint64]*Distributor
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	mu              sync.Mutex
	refusedVersions map[uint64]uint64 // version that a member refuses, by member ID
}

func startFleet(n int, directWatch bool) *fleet {
	f := &fleet{store: &standin.Keyspace{}, distributors: map[uint64]*Distributor{}, refusedVersions: map[uint64]uint64{}}
	var members []wire.Member
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
		members = append(members, wire.Member{ID: uint64(i + 1), Addr: addr, Domain: []string{"mid-a", "mid-b"}[i%2]})
	}
	view := roster.NewView(1, members)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, m := range members {
		f.distributors[m.ID] = &Distributor{
			Self: func() wire.Member { return m }, Store: f.store, View: func() *roster.View { return view },
			Exchanger: &fakeExchanger{self: link.Peer{ID: m.ID, Addr: m.Addr}, peers: f.distributors},
			Profile:   settings.ProfileFast, DirectWatch: directWatch, Rand: rand.New(rand.NewPCG(m.ID, 0)),
			OnSnapshot: func(s *ledger.Snapshot) error { return f.onSnapshot(m.ID, s) },
		}
	}
	for _, d := range f.distributors {
		f.wg.Go(func() { _ = d.Run(ctx) })
	}
	return f
}

func (f *fleet) onSnapshot(id uint64, s *ledger.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusedVersions[id] == s.Version {
		return errors.New("refused by test")
	}
	return nil
}

func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
}

// edit makes an edit whose content depends on n, and returns the accepted version.
func (f *fleet) edit(c *qt.C, n byte) uint64 {
	e := &ledger.Editor{Store: f.store}
	r, err := e.Apply(context.Background(), ledger.Edit{Service: "bookings", File: "f", Data: []byte("service = \"bookings\"\n# " + string('a'+n) + "\n")})
	c.Assert(err, qt.IsNil)
	return r.Version
}

// awaitVersion waits until a version is in force on every distributor but except[0], if given.
func (f *fleet) awaitVersion(c *qt.C, version uint64, except ...uint64) {
	end := time.Now().Add(testTimeout)
	for id, distributor := range f.distributors {
		for len(except) == 0 || id != except[0] {
			if s := distributor.InForce(); s != nil && s.Version == version {
				break
			}
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("member %d", id))
			time.Sleep(time.Millisecond)
		}
	}
}

// TestDistributor checks that edits reach all distributors, and that one that refuses a version keeps the previous one and applies the next.
func TestDistributor(t *testing.T) {
	for name, directWatch := range map[string]bool{"readers and push tree": false, "baseline, each watches the store": true} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			c := qt.New(t)
			f := startFleet(12, directWatch)
			defer f.stop()
			f.awaitVersion(c, f.edit(c, 0))
			f.awaitVersion(c, f.edit(c, 1))

			f.mu.Lock()
			f.refusedVersions[5] = 3
			f.mu.Unlock()
			f.awaitVersion(c, f.edit(c, 2), 5)
			refused := func() bool {
				v, reason := f.distributors[5].RefusedVersion()
				return v == 3 && reason == "refused by test"
			}
			for end := time.Now().Add(testTimeout); !refused(); time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
			c.Assert(f.distributors[5].InForce().Version, qt.Equals, uint64(2))
			f.awaitVersion(c, f.edit(c, 3))
			v, _ := f.distributors[5].RefusedVersion()
			c.Assert(v, qt.Equals, uint64(0))
		})
	}
}

func TestDistributorMalformedMessages(t *testing.T) {
	c := qt.New(t)
	f := startFleet(1, false)
	defer f.stop()
	for name, kind := range map[string]link.MessageKind{"push": link.KindPush, "pull": link.KindPull, "other": 99} {
		_, err := f.distributors[1].ServeMessage(context.Background(), link.Peer{ID: 2}, kind, []byte{0xdd, 0xff})
		c.Check(err, qt.ErrorIs, problem.Protocol, qt.Commentf("%s", name))
	}
}
