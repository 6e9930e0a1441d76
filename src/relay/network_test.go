package relay

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/platform"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/wire"
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

// node is one daemon: a core, and the shell's work done on the network's clock.
type node struct {
	net     *network
	vm      string
	domain  string
	core    *Core
	holder  holder
	lease   platform.Lease
	head    ledger.Notice
	alive   bool
	diedAt  time.Time
	paused  bool
	backlog []func()
	refuse  uint64 // version that this daemon cannot take
	wakeAt  time.Time
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

func (n *node) kill() {
	n.alive, n.diedAt = false, n.net.now
	n.net.after(testDetect, n.net.tellMembers)
}

func (n *node) pause() { n.paused = true }

func (n *node) resume() {
	n.paused = false
	for _, f := range n.backlog {
		f()
	}
	n.backlog = nil
}

// arrive steps the core, or keeps the event while the daemon is paused.
func (n *node) arrive(e Event, u *wire.Update) {
	if n.paused {
		n.backlog = append(n.backlog, func() { n.arrive(e, u) })
		return
	}
	if n.alive {
		n.step(e, u)
	}
}

// step lets the core decide, carries its actions out and checks what must always hold.
func (n *node) step(e Event, u *wire.Update) {
	if _, pushed := e.(PushReceived); pushed {
		n.holder.remember(*u)
	}
	before := n.core.Have()
	for _, a := range n.core.Step(n.net.now, e) {
		n.carryOut(a, e, u)
	}
	n.check(before)
	if next := n.core.Next(); !next.IsZero() && !next.Equal(n.wakeAt) {
		n.wakeAt = next
		n.net.after(max(next.Sub(n.net.now), time.Millisecond), func() {
			if n.wakeAt.Equal(next) {
				n.wakeAt = time.Time{}
			}
			n.arrive(Tick{}, nil)
		})
	}
}

func (n *node) check(before uint64) {
	if n.core.Have() < before {
		n.net.fatal("%s: version fell from %d to %d", n.vm, before, n.core.Have())
	}
	if s := n.holder.held; s != nil && s.Version == n.core.Have() {
		want := n.net.accept[s.Version]
		if want == nil || want.Digest != s.Digest {
			n.net.fatal("%s: version %d is held in part or was never accepted", n.vm, s.Version)
		}
	}
}

func (n *node) onSnapshot(s *ledger.Snapshot) error {
	if s.Version == n.refuse {
		return problem.New(problem.Document, "test", "cannot be taken", "")
	}
	if s.Version < n.net.served[n.vm] && n.core.head.read && s.Version >= n.core.head.version {
		n.net.fatal("%s: version %d comes into force after %d", n.vm, s.Version, n.net.served[n.vm])
	}
	if err := document.CheckAll(s.Documents); err != nil {
		n.net.fatal("%s: version %d: %v", n.vm, s.Version, err)
	}
	if n.holder.inForce != nil && s.Version < n.holder.inForce.Version {
		n.net.fatal("%s: version %d comes into force after %d", n.vm, s.Version, n.holder.inForce.Version)
	}
	n.net.served[n.vm] = s.Version
	return nil
}

func (n *node) carryOut(a Action, e Event, u *wire.Update) {
	switch a := a.(type) {
	case WatchHead:
		n.watchHead(a)
	case ReadHead:
		n.net.calls++
		n.net.after(testLatency, func() { n.answerHead(false) })
	case Fetch:
		n.fetch()
	case Grant:
		n.net.calls++
		l, err := n.net.store.Grant(context.Background(), LeaseKey(n.domain, a.Slot), fmt.Sprint(n.core.Self), a.TTL)
		if err == nil {
			n.lease = l
		}
		n.answerLease(err)
	case Renew:
		n.net.calls++
		n.answerLease(n.net.store.Renew(context.Background(), n.lease))
	case Release:
		_ = n.net.store.Release(context.Background(), n.lease)
	case Apply:
		n.arrive(result(*u, a.Source, a.Peer, n.holder.apply(*u)), nil)
	case Push:
		n.push(a)
	case Ask:
		n.ask(a.To, ^uint64(0), a.Timeout, Asked{Peer: a.To, Failed: true}, func(r wire.PullReply) Event { return Asked{Peer: a.To, Version: r.Update.Version} })
	case Pull:
		n.ask(a.To, a.Have, a.Timeout, Pulled{Peer: a.To, Failed: true}, func(r wire.PullReply) Event {
			return Pulled{Peer: a.To, Version: r.Update.Version, Current: r.Current, BusyNext: r.BusyNext, BusyAfter: time.Duration(r.BusyAfter) * time.Millisecond}
		})
	case Open:
		if err := n.holder.open(); err != nil && n.refuse == 0 {
			n.net.fatal("%s: open: %v", n.vm, err)
		}
	}
}

func (n *node) watchHead(a WatchHead) {
	n.net.calls++
	if n.net.down || n.net.cutStore(n) {
		n.net.after(testLatency, func() { n.answerHead(false) })
		return
	}
	e, _ := n.net.store.Get(context.Background(), ledger.HeadKey)
	if e.Revision > a.After && !n.net.silent {
		n.net.after(testLatency, func() { n.answerHead(false) })
		return
	}
	n.net.seq++
	id := n.net.seq
	n.net.watches = append(n.net.watches, watch{n: n, id: id, open: true})
	n.net.after(a.Wait, func() {
		i := slices.IndexFunc(n.net.watches, func(x watch) bool { return x.id == id && x.open })
		if i < 0 {
			return
		}
		n.net.watches[i].open = false
		n.answerHead(n.net.silent)
	})
}

func (n *node) answerHead(silent bool) {
	notice, err := ledger.ReadNotice(context.Background(), n.net.store)
	if silent || err != nil || n.net.down || n.net.cutStore(n) {
		n.arrive(HeadFailed{Silent: silent}, nil)
		return
	}
	n.head = notice
	n.net.after(testLatency, func() { n.arrive(HeadSeen{Revision: notice.Revision, Version: notice.Version()}, nil) })
}

func (n *node) fetch() {
	n.net.calls++
	u, err := ledger.Fetch(context.Background(), n.net.store, n.holder.held, n.head)
	n.net.after(testLatency, func() {
		if err != nil || n.net.down || n.net.cutStore(n) {
			n.arrive(FetchFailed{}, nil)
			return
		}
		n.whenAwake(func() { n.arrive(result(u, SourceStore, 0, n.holder.apply(u)), nil) })
	})
}

// whenAwake runs f unless the daemon has died; after a pause when it is paused.
func (n *node) whenAwake(f func()) {
	if n.paused {
		n.backlog = append(n.backlog, f)
		return
	}
	if n.alive {
		f()
	}
}

func (n *node) answerLease(err error) {
	failed := n.net.down || n.net.cutStore(n) || (err != nil && !errors.Is(err, problem.Conflict))
	n.net.after(testLatency, func() {
		if failed {
			n.arrive(LeaseFailed{}, nil)
			return
		}
		n.arrive(LeaseAnswered{Held: err == nil}, nil)
	})
}

// message carries f to a member after a random delay; lost is run when it cannot arrive.
func (n *node) message(to uint64, timeout time.Duration, f func(to *node), lost func()) {
	i := slices.IndexFunc(n.net.nodes, func(o *node) bool { return o.core.Self == to })
	delay := time.Duration(n.net.rand.Int64N(int64(2 * testLatency)))
	n.net.after(delay, func() {
		if i < 0 || !n.net.nodes[i].alive || n.net.nodes[i].paused || n.net.cut(n, n.net.nodes[i]) || n.net.rand.Float64() < n.net.loss {
			n.net.after(timeout, lost)
			return
		}
		f(n.net.nodes[i])
		if n.net.rand.Float64() < n.net.repeat {
			n.net.after(time.Duration(n.net.rand.Int64N(int64(time.Second))), func() { f(n.net.nodes[i]) })
		}
	})
}

func (n *node) push(a Push) {
	u, ok := n.holder.update(a.Base, a.Version)
	if !ok {
		n.arrive(PushFailed{ID: a.ID}, nil)
		return
	}
	n.net.pushes++
	if u.From == 0 {
		n.net.copies++
	}
	n.message(a.To, a.Timeout, func(to *node) {
		to.arrive(PushReceived{From: n.core.Self, Base: u.From, Version: u.Version, Subtree: a.Subtree}, &u)
		n.net.after(testLatency, func() { n.arrive(PushDone{ID: a.ID}, nil) })
	}, func() { n.arrive(PushFailed{ID: a.ID}, nil) })
}

// ask sends a pull and hands the answer on.
func (n *node) ask(to, have uint64, timeout time.Duration, failed Event, answered func(wire.PullReply) Event) {
	n.message(to, timeout, func(to *node) {
		r, ok := to.servePull(PullRequested{From: n.core.Self, Have: have})
		if !ok {
			n.arrive(failed, nil)
			return
		}
		n.net.after(testLatency, func() { n.arrive(answered(r), &r.Update) })
	}, func() { n.arrive(failed, nil) })
}

func (n *node) servePull(e PullRequested) (r wire.PullReply, ok bool) {
	for _, a := range n.core.Step(n.net.now, e) {
		switch a := a.(type) {
		case AnswerUpdate:
			r, ok = wire.PullReply{Update: n.holder.held.UpdateFrom(a.From)}, true
			if r.Update.From == 0 {
				n.net.copies++
			}
		case AnswerCurrent:
			r, ok = wire.PullReply{Current: true, Update: wire.Update{Version: a.Version}}, true
		case AnswerBusy:
			r, ok = wire.PullReply{BusyNext: a.Next, BusyAfter: a.After.Milliseconds()}, true
		default:
			n.carryOut(a, e, nil)
		}
	}
	return r, ok
}

// probe compares versions with another daemon, as the roster's probes do.
func (n *node) probe() {
	if !n.alive {
		return
	}
	n.net.after(testProbe, n.probe)
	known := slices.DeleteFunc(slices.Clone(n.net.nodes), func(o *node) bool {
		return o == n || (!o.alive && n.net.now.Sub(o.diedAt) >= testDetect)
	})
	if len(known) == 0 {
		return
	}
	o := known[n.net.rand.IntN(len(known))]
	if !o.alive || n.paused || o.paused || n.net.cut(n, o) {
		return
	}
	mine, theirs := n.version(), o.version()
	if theirs > mine {
		n.arrive(PeerAhead{Peer: o.core.Self, Version: theirs}, nil)
	}
	if mine > theirs {
		o.arrive(PeerAhead{Peer: n.core.Self, Version: mine}, nil)
	}
}

func (n *node) version() uint64 {
	if n.holder.inForce == nil {
		return 0
	}
	return n.holder.inForce.Version
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
		if n.alive && n.core.Reading() {
			r = append(r, n)
		}
	}
	return r
}
