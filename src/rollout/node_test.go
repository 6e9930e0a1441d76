package rollout_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
)

var nodeKeys = registry.Keys{WatchPrefix: "mesh/", RolloutPrefix: "mesh/order/", PlanPrefix: "mesh/plan/"}

// nodeFleet is a set of nodes that exchange messages in memory and see the store's items as they
// change.
type nodeFleet struct {
	store   *standin.RegistryStore
	nodes   map[uint64]*rollout.Node
	cancels map[uint64]context.CancelFunc

	mu       sync.Mutex
	dead     map[uint64]bool
	unlisted map[uint64]bool
	messages atomic.Int64
}

// fleetStore is a node's store, whose commits may be intercepted.
type fleetStore struct {
	*standin.RegistryStore
	commit func(txn registry.Transaction, apply func() (uint64, error)) (uint64, error) // nil to apply
}

func (s *fleetStore) Commit(ctx context.Context, txn registry.Transaction) (uint64, error) {
	apply := func() (uint64, error) { return s.RegistryStore.Commit(context.WithoutCancel(ctx), txn) }
	if s.commit == nil {
		return apply()
	}
	return s.commit(txn, apply)
}

func (f *nodeFleet) members() []wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []wire.Member
	for id := range uint64(len(f.nodes)) {
		m := wire.Member{ID: id + 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 1), Service: "s", Domain: fmt.Sprint(id % 2), Slots: 4, Ready: true, Version: nodeVersion(id + 1)}
		out = append(out, m)
	}
	return out
}

func nodeVersion(id uint64) string { return []string{"v1", "v2"}[id%2] }

// Exchange implements link.Exchanger.
func (f *nodeFleet) Exchange(ctx context.Context, to link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	f.messages.Add(1)
	f.mu.Lock()
	dead := f.dead[to.ID]
	f.mu.Unlock()
	if dead {
		return nil, problem.New(problem.Unavailable, "peer", "dead", "")
	}
	return f.nodes[to.ID].ServeMessage(ctx, link.Peer{}, kind, payload)
}

// newNodeFleet starts n nodes; commit intercepts the commits of a node, nil for none.
func newNodeFleet(c *qt.C, n int, commit func(f *nodeFleet, id uint64, txn registry.Transaction, apply func() (uint64, error)) (uint64, error)) *nodeFleet {
	f := &nodeFleet{store: standin.NewRegistryStore(), nodes: map[uint64]*rollout.Node{}, cancels: map[uint64]context.CancelFunc{}, dead: map[uint64]bool{}}
	for id := uint64(1); id <= uint64(n); id++ {
		store := &fleetStore{RegistryStore: f.store.View()}
		if commit != nil {
			store.commit = func(txn registry.Transaction, apply func() (uint64, error)) (uint64, error) {
				return commit(f, id, txn, apply)
			}
		}
		f.nodes[id] = &rollout.Node{
			Self: id, Service: "s", Members: f.members, Exchanger: f, Store: store, Keys: nodeKeys, StatusPrefix: "status/", Log: logr.Discard(),
			DecodeOrder: func(service string, value []byte) (rollout.Order, error) {
				return rollout.Order{Service: service, TargetVersion: "v2", Duration: 3 * time.Second}, nil
			},
			EncodeStatus: func(state, version string) []byte { return []byte(state) },
			InFlight:     func() int { return 0 },
			Unlisted: func() map[uint64]bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.unlisted
			},
		}
	}
	for id, node := range f.nodes {
		node.SetBackend(nodeVersion(id), time.Time{})
		var ctx context.Context
		ctx, f.cancels[id] = context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = node.Run(ctx) })
		wg.Go(func() {
			view := f.store.View()
			for ctx.Err() == nil {
				items, _, _ := view.List(ctx, nodeKeys.WatchPrefix)
				for _, i := range items {
					node.HandleItem(i)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
		c.Cleanup(func() {
			f.cancels[id]()
			wg.Wait()
		})
	}
	return f
}

// kill ends a node, which stays a member: others cannot know yet that it has ended.
func (f *nodeFleet) kill(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[id] = true
	f.cancels[id]()
}

func (f *nodeFleet) status() string {
	items, _, _ := f.store.List(context.Background(), "status/s")
	if len(items) == 0 {
		return ""
	}
	return string(items[0].Value)
}

func (f *nodeFleet) await(c *qt.C, want string, limit time.Duration) {
	c.Helper()
	for end := time.Now().Add(limit); f.status() != want; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("status %q instead of %q after %v", f.status(), want, limit))
	}
}

// isVerdict reports whether a transaction writes a verdict.
func isVerdict(txn registry.Transaction) bool {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, "status/") && string(w.Value) != "running" {
			return true
		}
	}
	return false
}

// The coordinator that has decided dies before its write is applied, and the write is applied late.
// Another coordinator must write the verdict, and the late write must fail. Guards against an order
// without a verdict, and against a second one.
func TestNodeCoordinatorDiesBeforeWrite(t *testing.T) {
	c := qt.New(t)
	var once sync.Once
	var verdicts atomic.Int64
	held := make(chan func() (uint64, error), 1)
	f := newNodeFleet(c, 6, func(f *nodeFleet, id uint64, txn registry.Transaction, apply func() (uint64, error)) (uint64, error) {
		isFirst := false
		if isVerdict(txn) {
			once.Do(func() { isFirst = true })
		}
		if isFirst {
			held <- apply
			f.kill(id)
			return 0, problem.New(problem.Unsure, "store", "no answer", "")
		}
		revision, err := apply()
		if err == nil && isVerdict(txn) {
			verdicts.Add(1)
		}
		return revision, err
	})
	f.store.Put("mesh/order/s", []byte("v2"))
	f.await(c, "running", time.Second)
	f.await(c, "completed", 5*time.Second)
	_, err := (<-held)()
	c.Check(err, qt.ErrorIs, problem.Conflict)
	c.Check(verdicts.Load(), qt.Equals, int64(1))
}

// The store refuses the three coordinators. The order must start all the same, and go on once the
// store has dropped their entries. Guards against an order without a status and without a verdict.
func TestNodeStoreRefusesCoordinators(t *testing.T) {
	c := qt.New(t)
	refused := map[uint64]bool{}
	f := newNodeFleet(c, 8, func(f *nodeFleet, id uint64, txn registry.Transaction, apply func() (uint64, error)) (uint64, error) {
		if refused[id] {
			return 0, problem.New(problem.Unavailable, "store", "refused", "")
		}
		return apply()
	})
	var candidates []rollout.Candidate
	for _, m := range f.members() {
		candidates = append(candidates, rollout.Candidate{ID: m.ID, Domain: m.Domain})
	}
	order := rollout.Order{Service: "s", TargetVersion: "v2", Duration: 3 * time.Second, Revision: 1}
	for _, id := range rollout.Coordinators(order.ID(), candidates) {
		refused[id] = true
	}
	f.store.Put("mesh/order/s", []byte("v2"))
	f.await(c, "running", 2*time.Second)
	f.mu.Lock()
	f.unlisted = refused
	f.mu.Unlock()
	f.await(c, "completed", 5*time.Second)
}

// Of a write that was applied but not answered, the outcome is read before the next write. Guards
// against a record that is written twice, and a rollout that ends there.
func TestNodeLostAnswers(t *testing.T) {
	c := qt.New(t)
	var writes atomic.Int64
	f := newNodeFleet(c, 6, func(f *nodeFleet, id uint64, txn registry.Transaction, apply func() (uint64, error)) (uint64, error) {
		revision, err := apply()
		if err == nil && writes.Add(1)%2 == 1 {
			return 0, problem.New(problem.Unsure, "store", "no answer", "")
		}
		return revision, err
	})
	f.store.Put("mesh/order/s", []byte("v2"))
	f.await(c, "completed", 5*time.Second)
	items, _, _ := f.store.List(context.Background(), "mesh/plan/s")
	p, err := rollout.DecodePlan(items[0].Value)
	c.Assert(err, qt.IsNil)
	c.Check(int64(p.Step), qt.Equals, writes.Load(), qt.Commentf("each step written once"))
}

// An agent that was paused for 3 s must not run a call on a permit of before. Guards against a
// permit by a clock that stands still while a VM is suspended.
func TestNodePermitAfterPause(t *testing.T) {
	c := qt.New(t)
	f := newNodeFleet(c, 4, nil)
	node := f.nodes[1]
	var ahead atomic.Int64
	paused := &rollout.Node{
		Self: 1, Service: "s", Members: f.members, Exchanger: f, Store: f.store.View(), Keys: nodeKeys, StatusPrefix: "status/",
		DecodeOrder: node.DecodeOrder, EncodeStatus: node.EncodeStatus, InFlight: node.InFlight,
		Now: func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) },
	}
	paused.SetBackend("v2", time.Time{})
	f.store.Put("mesh/order/s", []byte("v2"))
	ctx, pause := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = paused.Run(ctx)
		close(ended)
	}()
	admitted := func() bool {
		items, _, _ := f.store.List(context.Background(), nodeKeys.WatchPrefix)
		for _, i := range items {
			paused.HandleItem(i)
		}
		return paused.Admit(paused.Routing("s").Order) == rollout.AdmissionRun && paused.Routing("s").Order != 0
	}
	for end := time.Now().Add(time.Second); !admitted(); time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%v", paused.Admit(paused.Routing("s").Order)))
	}
	c.Check(paused.Admit(0), qt.Equals, rollout.AdmissionOtherOrder)
	pause()
	<-ended
	ahead.Store(int64(3 * time.Second))
	c.Check(paused.Admit(paused.Routing("s").Order), qt.Equals, rollout.AdmissionNoPermit)
}

// Without an order nothing may be sent, read or allocated on the path of a call.
func TestNodeIdle(t *testing.T) {
	c := qt.New(t)
	f := newNodeFleet(c, 2, nil)
	node := f.nodes[1]
	time.Sleep(300 * time.Millisecond)
	c.Check(f.messages.Load(), qt.Equals, int64(0))
	c.Check(node.Store.(*fleetStore).Calls, qt.Equals, 0)
	var none *rollout.Node
	allocs := testing.AllocsPerRun(100, func() {
		node.Admit(0)
		node.Add(rollout.Sample{Route: "r"})
		none.Admit(0)
	})
	c.Check(allocs, qt.Equals, 0.0)
}
