package bench

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
)

// observer checks every state that comes into force at any daemon, and keeps when each version did.
type observer struct {
	mu       sync.Mutex
	lives    map[*daemon.Daemon]*life
	sums     map[uint64]map[uint64]int // sum of the documents seen in force, by version
	backward int
	dangling int
}

// life is one run of one daemon.
type life struct {
	node   *Node
	daemon *daemon.Daemon
	steps  []step
	ended  time.Time // zero while it runs
}

// step is a version that came into force.
type step struct {
	at      time.Time
	version uint64
}

func newObserver() *observer {
	return &observer{lives: map[*daemon.Daemon]*life{}, sums: map[uint64]map[uint64]int{}}
}

// note takes one state in force.
func (o *observer) note(n *Node, f *daemon.ActiveState) {
	now := time.Now()
	dangling := danglingRoutes(f)
	d := n.Daemon()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dangling += dangling
	l := o.lives[d]
	if l == nil {
		l = &life{node: n, daemon: d}
		o.lives[d] = l
	}
	version := f.Snapshot.Version
	if k := len(l.steps); k > 0 && l.steps[k-1].version >= version {
		if l.steps[k-1].version > version {
			o.backward++
		}
		return
	}
	l.steps = append(l.steps, step{at: now, version: version})
	if o.sums[version] == nil {
		o.sums[version] = map[uint64]int{}
	}
	o.sums[version][sumOf(f.Snapshot)]++
}

// end notes that a node's daemon is about to end.
func (o *observer) end(n *Node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l := o.lives[n.Daemon()]; l != nil && l.ended.IsZero() {
		l.ended = time.Now()
	}
}

// danglingRoutes counts the routes in force whose service or members are not held.
func danglingRoutes(f *daemon.ActiveState) int {
	n := 0
	if f.Table.Version != f.Snapshot.Version {
		n++
	}
	for name, doc := range f.Snapshot.Documents {
		for i := range doc.Routes {
			if !resolved(f.Snapshot, &doc.Routes[i]) {
				n++
			}
		}
		for _, m := range f.Table.Members(name) {
			if _, ok := f.View.Member(m.ID); !ok {
				n++
			}
		}
	}
	return n
}

func resolved(s *ledger.Snapshot, r *document.Route) bool {
	names := []string{}
	for _, t := range r.Targets {
		names = append(names, t.Service)
	}
	if r.Fallback != "" {
		names = append(names, r.Fallback)
	}
	return !slices.ContainsFunc(names, func(name string) bool { return s.Documents[name] == nil })
}

// sumOf sums up all documents of a snapshot as their teams wrote them.
func sumOf(s *ledger.Snapshot) uint64 {
	docs := map[string][]byte{}
	for name, b := range s.Bodies {
		docs[name] = b.Data
	}
	return sumDocuments(docs)
}

func sumDocuments(docs map[string][]byte) uint64 {
	h := xxh3.New()
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		_, _ = h.WriteString(name)
		_, _ = h.Write(docs[name])
	}
	return h.Sum64()
}
