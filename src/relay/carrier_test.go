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

const testGuard = 30 * time.Second // against a test that hangs

// exchange joins carriers without sockets.
type exchange struct {
	self link.Peer
	all  map[uint64]*Distributor
}

func (x *exchange) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	c := x.all[to.ID]
	if c == nil {
		return nil, problem.New(problem.Unavailable, to.Addr.String(), "no such member", "")
	}
	return c.ServeMessage(ctx, x.self, kind, payload)
}

// fleet starts carriers over one store.
type fleet struct {
	store    *standin.Keyspace
	carriers map[uint64]*Distributor
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	refuse   map[uint64]uint64 // version that a member cannot take
}

func startFleet(n int, baseline bool) *fleet {
	f := &fleet{store: &standin.Keyspace{}, carriers: map[uint64]*Distributor{}, refuse: map[uint64]uint64{}}
	var members []wire.Member
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1))
		members = append(members, wire.Member{ID: uint64(i + 1), Addr: addr, Domain: []string{"mid-a", "mid-b"}[i%2]})
	}
	view := roster.NewView(1, members)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, m := range members {
		f.carriers[m.ID] = &Distributor{
			Self: func() wire.Member { return m }, Store: f.store, View: func() *roster.View { return view },
			Exchanger: &exchange{self: link.Peer{ID: m.ID, Addr: m.Addr}, all: f.carriers},
			Profile:   settings.ProfileFast, Baseline: baseline, Rand: rand.New(rand.NewPCG(m.ID, 0)),
			OnSnapshot: func(s *ledger.Snapshot) error { return f.onSnapshot(m.ID, s) },
		}
	}
	for _, c := range f.carriers {
		f.wg.Go(func() { _ = c.Run(ctx) })
	}
	return f
}

func (f *fleet) onSnapshot(id uint64, s *ledger.Snapshot) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse[id] == s.Version {
		return errors.New("cannot be taken")
	}
	return nil
}

func (f *fleet) stop() {
	f.cancel()
	f.wg.Wait()
}

func (f *fleet) edit(c *qt.C, n byte) uint64 {
	e := &ledger.Editor{Store: f.store}
	r, err := e.Apply(context.Background(), ledger.Edit{Service: "bookings", File: "f", Data: []byte("service = \"bookings\"\n# " + string('a'+n) + "\n")})
	c.Assert(err, qt.IsNil)
	return r.Version
}

// await waits until every carrier but those excepted has a version in force.
func (f *fleet) await(c *qt.C, version uint64, except ...uint64) {
	end := time.Now().Add(testGuard)
	for id, carrier := range f.carriers {
		for len(except) == 0 || id != except[0] {
			if s := carrier.Current(); s != nil && s.Version == version {
				break
			}
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("member %d", id))
			time.Sleep(time.Millisecond)
		}
	}
}

func TestCarrier(t *testing.T) {
	for name, baseline := range map[string]bool{"readers and tree": false, "each watches the store": true} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			c := qt.New(t)
			f := startFleet(12, baseline)
			defer f.stop()
			f.await(c, f.edit(c, 0))
			f.await(c, f.edit(c, 1))

			f.mu.Lock()
			f.refuse[5] = 3
			f.mu.Unlock()
			f.await(c, f.edit(c, 2), 5)
			refused := func() bool { v, why := f.carriers[5].RefusedVersion(); return v == 3 && why == "cannot be taken" }
			for end := time.Now().Add(testGuard); !refused(); time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
			c.Assert(f.carriers[5].Current().Version, qt.Equals, uint64(2))
			f.await(c, f.edit(c, 3))
			v, _ := f.carriers[5].RefusedVersion()
			c.Assert(v, qt.Equals, uint64(0))
		})
	}
}

func TestCarrierServesBadMessages(t *testing.T) {
	c := qt.New(t)
	f := startFleet(1, false)
	defer f.stop()
	for name, kind := range map[string]link.MessageKind{"push": link.KindPush, "pull": link.KindPull, "other": 99} {
		_, err := f.carriers[1].ServeMessage(context.Background(), link.Peer{ID: 2}, kind, []byte{0xdd, 0xff})
		c.Check(err, qt.ErrorIs, problem.Protocol, qt.Commentf("%s", name))
	}
}
