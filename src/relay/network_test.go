package relay

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

const (
	testLatency       = 2 * time.Millisecond
	testProbeInterval = time.Second     // between probes of a node
	testDetectionTime = 3 * time.Second // until a dead node leaves the member lists
)

// network simulates daemons on a virtual clock, with a store in memory.
type network struct {
	fatal       func(format string, args ...any)
	now         time.Time
	rand        *rand.Rand
	schedule    callQueue // calls to run as the clock advances
	seq         int       // orders scheduled calls of equal time; also numbers watches
	profile     settings.Profile
	nodes       []*node // in start order
	nextID      uint64
	store       *standin.Keyspace
	editor      *ledger.Editor
	accepted    map[uint64]*ledger.Snapshot // by version
	lastInForce map[string]uint64           // version that last came into force, by VM
	watches     []watch
	storeCalls  int
	pushes      int
	fullCopies  int // full copies sent

	storeDown, watchesTimeOut bool
	partitioned               func(a, b *node) bool // reports whether messages between two nodes are lost
	storeUnreachable          func(n *node) bool
	lossRate                  float64 // share of messages that are lost
	duplicateRate             float64 // share of messages that arrive twice, the second time late
}

// watch is a WatchHead in progress.
type watch struct {
	watcher *node
	id      int
	open    bool
}

// scheduledCall is a function to run at a time of the virtual clock.
type scheduledCall struct {
	at  time.Time
	seq int
	run func()
}

// callQueue is a heap of calls, by time.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newNetwork(fatal func(string, ...any), seed uint64, profile settings.Profile) *network {
	net := &network{
		fatal: fatal, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), profile: profile,
		accepted: map[uint64]*ledger.Snapshot{}, lastInForce: map[string]uint64{},
		partitioned: func(*node, *node) bool { return false }, storeUnreachable: func(*node) bool { return false },
	}
	net.store = &standin.Keyspace{Now: func() time.Time { return net.now }}
	net.editor = &ledger.Editor{
		Store: net.store, Now: func() time.Time { return net.now }, Rand: rand.New(rand.NewPCG(seed, 2)),
		Sleep: func(context.Context, time.Duration) error { return nil },
	}
	return net
}

// runAfter schedules f to run after a duration.
func (net *network) runAfter(d time.Duration, f func()) {
	net.seq++
	heap.Push(&net.schedule, scheduledCall{at: net.now.Add(d), seq: net.seq, run: f})
}

// advance advances the clock and runs the calls that are due.
func (net *network) advance(d time.Duration) {
	end := net.now.Add(d)
	for len(net.schedule) > 0 && !net.schedule[0].at.After(end) {
		call := heap.Pop(&net.schedule).(scheduledCall)
		net.now = call.at
		call.run()
	}
	net.now = end
}

// edit makes an edit of a service's document, whose content depends on n, and returns the accepted version.
func (net *network) edit(service string, n int) uint64 {
	data := fmt.Appendf(nil, "service = %q\n[[route]]\ntimeout = \"%dms\"\n", service, 100+n)
	r, err := net.editor.Apply(context.Background(), ledger.Edit{Service: service, Data: data, File: service})
	if err != nil {
		net.fatal("edit: %v", err)
	}
	if r.Unchanged {
		h, _ := net.editor.Head(context.Background())
		return h.Version
	}
	s, err := ledger.Load(context.Background(), net.store)
	if err != nil {
		net.fatal("load: %v", err)
	}
	net.accepted[r.Version] = s
	net.answerWatches()
	return r.Version
}

// answerWatches ends the watches after a change of the head, unless watches time out.
func (net *network) answerWatches() {
	for i := range net.watches {
		if w := &net.watches[i]; w.open && !net.watchesTimeOut {
			w.open = false
			w.watcher.answerHead(false)
		}
	}
	net.watches = slices.DeleteFunc(net.watches, func(w watch) bool { return !w.open })
}

// addNode starts a daemon on a VM.
func (net *network) addNode(vm, domain string) *node {
	net.nextID++
	n := &node{net: net, vm: vm, domain: domain, alive: true}
	id := net.nextID*0x9e3779b97f4a7c15 | 1 // spreads the IDs over the whole range; never 0
	n.core = &Core{Self: id, Domain: domain, Tuning: TuningOf(net.profile), Rand: rand.New(rand.NewPCG(net.rand.Uint64(), 3))}
	n.config.onSnapshot = n.onSnapshot
	net.nodes = append(net.nodes, n)
	net.runAfter(0, func() { n.step(Tick{}, nil); net.updateMembers() })
	net.runAfter(time.Duration(net.rand.Int64N(int64(testProbeInterval))), n.probe)
	return n
}

// addNodes starts daemons in three failure domains.
func (net *network) addNodes(count int) {
	for i := range count {
		net.addNode(fmt.Sprintf("vm-%d", i), fmt.Sprintf("domain-%d", i%3))
	}
}

// updateMembers gives each daemon the list of live daemons that it can reach.
func (net *network) updateMembers() {
	for _, n := range net.nodes {
		var members []Member
		for _, other := range net.nodes {
			if other.alive && !net.partitioned(n, other) {
				members = append(members, Member{ID: other.core.Self, Domain: other.domain})
			}
		}
		n.deliver(Members{Members: members}, nil)
	}
}

// setPartition cuts a failure domain off from the others, and from the store if fromStore is set; "" ends the partition.
func (net *network) setPartition(domain string, fromStore bool) {
	net.partitioned = func(a, b *node) bool { return (a.domain == domain) != (b.domain == domain) }
	net.storeUnreachable = func(n *node) bool { return fromStore && n.domain == domain }
	net.runAfter(testDetectionTime, net.updateMembers)
}

// nodesNotAt returns the live daemons on which a version is not in force, with the version that is.
func (net *network) nodesNotAt(version uint64) []string {
	var vms []string
	for _, n := range net.nodes {
		if n.alive && n.versionInForce() != version {
			vms = append(vms, fmt.Sprintf("%s:%d", n.vm, n.versionInForce()))
		}
	}
	return vms
}

// readers returns the live daemons that watch the store.
func (net *network) readers() []*node {
	var found []*node
	for _, n := range net.nodes {
		if n.alive && n.core.IsWatching() {
			found = append(found, n)
		}
	}
	return found
}
