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
	testLatency = 2 * time.Millisecond
	testProbe   = time.Second     // between the probes of a member
	testDetect  = 3 * time.Second // until a dead member leaves the others' lists
)

// network runs cores on a clock of its own, over a store in memory.
type network struct {
	fatal   func(format string, args ...any)
	now     time.Time
	rand    *rand.Rand
	timers  timers
	seq     int
	profile settings.Profile
	nodes   []*node // in order of their start
	nextID  uint64
	store   *standin.Keyspace
	editor  *ledger.Editor
	accept  map[uint64]*ledger.Snapshot // accepted configurations, by version
	served  map[string]uint64           // highest version in force on each VM
	watches []watch
	calls   int
	pushes  int
	copies  int // full copies sent

	down, silent bool
	cut          func(a, b *node) bool // no messages between two nodes
	cutStore     func(n *node) bool
	loss         float64 // of messages
	repeat       float64 // messages that arrive twice, the second late
}

type watch struct {
	n    *node
	id   int
	open bool
}

type timer struct {
	at  time.Time
	seq int
	f   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return cmp.Or(t[i].at.Compare(t[j].at), cmp.Compare(t[i].seq, t[j].seq)) < 0
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func newNetwork(fatal func(string, ...any), seed uint64, profile settings.Profile) *network {
	w := &network{
		fatal: fatal, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), profile: profile,
		accept: map[uint64]*ledger.Snapshot{}, served: map[string]uint64{},
		cut: func(*node, *node) bool { return false }, cutStore: func(*node) bool { return false },
	}
	w.store = &standin.Keyspace{Now: func() time.Time { return w.now }}
	w.editor = &ledger.Editor{
		Store: w.store, Now: func() time.Time { return w.now }, Rand: rand.New(rand.NewPCG(seed, 2)),
		Wait: func(context.Context, time.Duration) error { return nil },
	}
	return w
}

// after runs f when the network's clock has moved on.
func (w *network) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: w.now.Add(d), seq: w.seq, f: f})
}

// run moves the clock on.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 && !w.timers[0].at.After(end) {
		t := heap.Pop(&w.timers).(timer)
		w.now = t.at
		t.f()
	}
	w.now = end
}

// edit accepts a change of a service's document and returns the version.
func (w *network) edit(service string, n int) uint64 {
	data := fmt.Appendf(nil, "service = %q\n[[route]]\ntimeout = \"%dms\"\n", service, 100+n)
	r, err := w.editor.Apply(context.Background(), ledger.Edit{Service: service, Data: data, File: service})
	if err != nil {
		w.fatal("edit: %v", err)
	}
	if r.Unchanged {
		h, _ := w.editor.Head(context.Background())
		return h.Version
	}
	s, err := ledger.Load(context.Background(), w.store)
	if err != nil {
		w.fatal("load: %v", err)
	}
	w.accept[r.Version] = s
	w.wakeWatches()
	return r.Version
}

func (w *network) wakeWatches() {
	for i := range w.watches {
		if x := &w.watches[i]; x.open && !w.silent {
			x.open = false
			x.n.answerHead(false)
		}
	}
	w.watches = slices.DeleteFunc(w.watches, func(x watch) bool { return !x.open })
}

// add starts a daemon on a VM.
func (w *network) add(vm, domain string) *node {
	w.nextID++
	n := &node{net: w, vm: vm, domain: domain, alive: true}
	id := w.nextID*0x9e3779b97f4a7c15 | 1
	n.core = &Core{Self: id, Domain: domain, Tuning: TuningOf(w.profile), Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 3))}
	n.holder.onSnapshot = n.onSnapshot
	w.nodes = append(w.nodes, n)
	w.after(0, func() { n.step(Tick{}, nil); w.tellMembers() })
	w.after(time.Duration(w.rand.Int64N(int64(testProbe))), n.probe)
	return n
}

// fill starts daemons in three failure domains.
func (w *network) fill(count int) {
	for i := range count {
		w.add(fmt.Sprintf("vm-%d", i), fmt.Sprintf("domain-%d", i%3))
	}
}

// tellMembers tells each daemon of those that live and that it can reach.
func (w *network) tellMembers() {
	for _, n := range w.nodes {
		var members []Member
		for _, o := range w.nodes {
			if o.alive && !w.cut(n, o) {
				members = append(members, Member{ID: o.core.Self, Domain: o.domain})
			}
		}
		n.arrive(Members{Members: members}, nil)
	}
}

// isolate cuts a failure domain off from the others, and from the store if asked; "" heals the cut.
func (w *network) isolate(domain string, store bool) {
	w.cut = func(a, b *node) bool { return (a.domain == domain) != (b.domain == domain) }
	w.cutStore = func(n *node) bool { return store && n.domain == domain }
	w.after(testDetect, w.tellMembers)
}

// behind lists the living daemons that do not have a version in force.
func (w *network) behind(version uint64) []string {
	var vms []string
	for _, n := range w.nodes {
		if n.alive && n.version() != version {
			vms = append(vms, fmt.Sprintf("%s:%d", n.vm, n.version()))
		}
	}
	return vms
}

// readers lists the daemons that watch the store.
func (w *network) readers() []*node {
	var r []*node
	for _, n := range w.nodes {
		if n.alive && n.core.IsReader() {
			r = append(r, n)
		}
	}
	return r
}
