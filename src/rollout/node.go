package rollout

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/wire"
	"github.com/yuccaport/yuccaport/src/workers"
)

const (
	tickInterval   = 100 * time.Millisecond // the longest that Coordinator allows
	reportInterval = 200 * time.Millisecond // between two reports; several fit into the permit time, so that a lost one does not end a permit
	peerTimeout    = 700 * time.Millisecond // for the answer to a report or a stop; less than half the permit time
	storeTimeout   = time.Second            // for one call to the store
	storeRetryTime = 200 * time.Millisecond // pause after a failed call to the store
	maxTasks       = 1024                   // messages and store calls under way
	stopAttempts   = 5                      // to tell one member of a stop; a server that never hears of it loses its permit
)

// Node carries out the orders of all services together with the nodes of the other agents: it runs a
// Coordinator for each service under an order, the Gate beside the agent's own backend server, and
// the messages and store calls between them.
//
// Its exported fields are set before the first use; those without a note are required. Its methods
// may be called concurrently; Run must be called at most once. Without an order it sends no message,
// makes no store call and allocates nothing on the path of a call.
type Node struct {
	Self         uint64                 // member ID of this agent
	Service      string                 // of the agent's own backend server
	Members      func() []wire.Member   // all agents, this one included or not
	Unlisted     func() map[uint64]bool // IDs of the members whose entries the store lacks, as it does while it refuses them; nil for none
	Exchanger    link.Exchanger
	Store        registry.Store
	Keys         registry.Keys
	StatusPrefix string // of the keys of the status records, followed by the service
	DecodeOrder  func(service string, value []byte) (Order, error)
	EncodeStatus func(state, targetVersion string) []byte
	InFlight     func() int                            // calls that run or wait at the backend server, and those that the gate has just admitted
	KnowsItems   func() bool                           // orders and records are known as far as peers know them; the agent does not coordinate before; nil for always
	OnRouting    func(service string, routing Routing) // called with each change of a service's routing, in order; must not call the node; nil for no call
	Log          logr.Logger                           // zero for no logging
	Metrics      *metrics.Set                          // nil for a new set
	Now          func() time.Time                      // must count suspension; nil for clock.NowWithSuspension

	once     sync.Once
	pool     workers.Pool
	wake     chan struct{}
	ctx      context.Context // of messages and store calls; done when Run returns
	cancel   context.CancelFunc
	guard    guard
	counters nodeCounters

	itemsMu sync.Mutex // held while an item is handled; taken before mu

	mu        sync.Mutex
	services  map[string]*serviceState
	reporting map[uint64]bool // coordinators whose answer is awaited
}

func (n *Node) init() {
	n.once.Do(func() {
		if n.Now == nil {
			n.Now = clock.NowWithSuspension
		}
		if n.Metrics == nil {
			n.Metrics = metrics.NewSet()
		}
		if n.Log.GetSink() == nil {
			n.Log = logr.Discard()
		}
		n.pool.Max = maxTasks
		n.wake = make(chan struct{}, 1)
		n.ctx, n.cancel = context.WithCancel(context.Background())
		n.services, n.reporting = map[string]*serviceState{}, map[uint64]bool{}
		n.counters.set = n.Metrics
	})
}

// Run coordinates and reports while there are orders that are not settled, until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	defer n.pool.StopAndWait()
	defer n.cancel()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	t.Stop()
	ticking, reportedAt := false, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
		case <-t.C:
		}
		switch active := n.tick(); {
		case active && !ticking:
			t.Reset(tickInterval)
		case !active && ticking:
			t.Stop()
		}
		ticking = n.hasActive()
		if now := n.Now(); ticking && now.Sub(reportedAt) >= reportInterval {
			reportedAt = now
			n.report()
		}
	}
}

// wakeRun makes Run look at once whether there is something to do.
func (n *Node) wakeRun() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// tick passes the members and a tick to the coordinators of the services under an order, and reports
// whether there are any.
func (n *Node) tick() bool {
	active := n.activeServices()
	if len(active) == 0 {
		return false
	}
	members := n.Members()
	for _, service := range active {
		n.updateMembers(service, members)
		n.step(service, Tick{})
	}
	return true
}

// activeServices returns the services whose order is not settled.
func (n *Node) activeServices() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for name, s := range n.services {
		if s.isActive() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (n *Node) hasActive() bool { return len(n.activeServices()) > 0 }

// updateMembers tells the coordinator of a service the servers and this agent's rank, if they have
// changed.
func (n *Node) updateMembers(service string, members []wire.Member) {
	servers := serversOf(service, members)
	n.mu.Lock()
	s := n.services[service]
	rank := slices.Index(n.writersLocked(s, members), n.Self)
	if n.KnowsItems != nil && !n.KnowsItems() {
		rank = -1
	}
	serversChanged, rankChanged := !slices.Equal(servers, s.servers), rank != s.rank
	s.servers, s.rank = servers, rank
	n.mu.Unlock()
	if serversChanged {
		n.step(service, ServersChanged{Servers: slices.Clone(servers)})
	}
	if rankChanged {
		n.step(service, RankChanged{Rank: rank})
	}
}

// coordinatorsLocked returns the coordinators of a service's order by rank. n.mu must be held.
func (n *Node) coordinatorsLocked(s *serviceState, members []wire.Member) []uint64 {
	return Coordinators(s.orderID(), n.candidates(members))
}

// writersLocked returns the members that write records, by rank: the coordinators and, in case the
// store refuses all of them, as many further members. These get no reports, so that they can only
// write what needs none: the first record, and the verdict after a stop. n.mu must be held.
func (n *Node) writersLocked(s *serviceState, members []wire.Member) []uint64 {
	candidates := n.candidates(members)
	coordinators := Coordinators(s.orderID(), candidates)
	others := slices.DeleteFunc(candidates, func(c Candidate) bool { return slices.Contains(coordinators, c.ID) })
	return append(coordinators, Coordinators(s.orderID(), others)...)
}

// candidates returns the live members that the store lists or, if these are too few, all live ones.
func (n *Node) candidates(members []wire.Member) []Candidate {
	var unlisted map[uint64]bool
	if n.Unlisted != nil {
		unlisted = n.Unlisted()
	}
	var listed, all []Candidate
	for _, m := range members {
		if m.State != wire.StateAlive {
			continue
		}
		c := Candidate{ID: m.ID, Domain: m.Domain}
		all = append(all, c)
		if !unlisted[m.ID] {
			listed = append(listed, c)
		}
	}
	if len(listed) < coordinatorCount {
		return all
	}
	return listed
}

func serversOf(service string, members []wire.Member) []Server {
	var out []Server
	for _, m := range members {
		if m.Service == service {
			out = append(out, Server{ID: m.ID, Domain: m.Domain, Version: m.Version, Slots: int(m.Slots), Ready: m.State == wire.StateAlive && m.Ready})
		}
	}
	return out
}

// Routing returns the routing of a service, zero if it is under no order.
func (n *Node) Routing(service string) Routing {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.services[service]; s != nil {
		return s.routing
	}
	return Routing{}
}

// step passes an event to the coordinator of a service and carries out the actions.
func (n *Node) step(service string, e Event) {
	n.init()
	n.mu.Lock()
	s := n.ensureLocked(service)
	actions := s.coordinator.Step(n.Now(), e)
	for _, a := range actions {
		if a, ok := a.(RoutingChanged); ok {
			n.setRoutingLocked(s, a.Routing)
		}
	}
	n.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case ReadRecord:
			n.start(func() { n.readRecord(service) }, func() { n.step(service, ReadFailed{}) })
		case WriteRecord:
			n.start(func() { n.writeRecord(service, a) }, func() { n.step(service, WriteUnsure{}) })
		case BroadcastStop:
			n.broadcastStop(service, a)
		case Log:
			n.log(a)
		case RoutingChanged:
		}
	}
}

// start runs a task of the pool, or elsewhere what is to be done when the pool is full or stopped.
func (n *Node) start(task, refused func()) {
	if n.pool.Go(task) != nil {
		go func() {
			if clock.Sleep(n.ctx, storeRetryTime) {
				refused()
			}
		}()
	}
}

func (n *Node) ensureLocked(service string) *serviceState {
	s := n.services[service]
	if s == nil {
		s = &serviceState{name: service, rank: noRank, coordinator: Coordinator{Service: service}}
		n.services[service] = s
	}
	return s
}

// setRoutingLocked puts a routing in force: at the gate, at the dispatcher and in metrics.
func (n *Node) setRoutingLocked(s *serviceState, r Routing) {
	before := s.routing
	s.routing = r
	if s.name == n.Service {
		n.guard.update(r)
	}
	n.counters.setStage(s.name, r)
	if n.OnRouting != nil && before != r {
		n.OnRouting(s.name, r)
	}
	if s.isActive() {
		n.wakeRun()
	}
}

// isClosed reports whether an error says that Run has returned.
func (n *Node) isClosed() bool { return errors.Is(n.ctx.Err(), context.Canceled) }
