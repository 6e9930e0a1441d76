package roster

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// network runs cores against each other on a clock of its own.
type network struct {
	now      time.Time
	rng      *rand.Rand
	timing   Timing
	loss     float64 // share of datagrams
	late     float64 // share of datagrams that take up to half a second
	cut      func(a, b *host) bool
	storeOut bool
	hosts    []*host
	seeds    map[string]SeedsRead
	domains  DomainsRead
	queue    queue
	serial   int
	bytes    int
	alarms   int
	reads    int
	writes   int
	changed  func(h *host, a Changed) // nil for none
	record   *trace.Recorder          // of the first host, nil for none
}

type host struct {
	core   *Core
	up     bool
	paused time.Time // until when the process stands still
	ahead  uint64    // highest version it was told of
}

type job struct {
	at     time.Time
	serial int
	run    func()
}

type queue []job

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(job)) }
func (q *queue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func newNetwork(seed uint64) *network {
	return &network{
		now:    time.Unix(0, 0).UTC(),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		timing: NewTiming(settings.ProfileFast),
		cut:    func(_, _ *host) bool { return false },
		seeds:  map[string]SeedsRead{},
	}
}

func (n *network) after(d time.Duration, run func()) {
	n.serial++
	heap.Push(&n.queue, job{at: n.now.Add(d), serial: n.serial, run: run})
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		j := heap.Pop(&n.queue).(job)
		n.now = j.at
		j.run()
	}
	n.now = end
}

// start adds a host in failure domain d; port tells its address.
func (n *network) start(port int, d int, withStore bool) *host {
	m := wire.Member{
		ID:        n.rng.Uint64(),
		Addr:      netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)),
		Service:   fmt.Sprintf("service-%d", port%3),
		Domain:    fmt.Sprintf("domain-%d", d),
		Ready:     true,
		StartedAt: n.now.UnixMilli(),
	}
	h := &host{up: true, core: &Core{Self: m, Timing: n.timing, Rand: newRand(int64(m.ID)), HasStore: withStore}}
	if !withStore && len(n.hosts) > 0 {
		h.core.Peers = []netip.AddrPort{n.hosts[0].core.Self.Addr}
	}
	n.hosts = append(n.hosts, h)
	n.after(time.Duration(n.rng.Int64N(int64(tickPeriod))), func() { n.tick(h) })
	return h
}

func (n *network) tick(h *host) {
	if !h.up {
		return
	}
	if h.paused.After(n.now) {
		n.after(h.paused.Sub(n.now), func() { n.tick(h) })
		return
	}
	n.step(h, Tick{Version: h.ahead})
	n.after(tickPeriod, func() { n.tick(h) })
}

func (n *network) step(h *host, e Event) {
	for _, a := range n.decide(h, e) {
		n.act(h, a)
	}
}

func (n *network) decide(h *host, e Event) []Action {
	actions := h.core.Step(n.now, e)
	if n.record != nil && h == n.hosts[0] {
		out, err := trace.Outcomes(actions)
		if err != nil {
			panic(err)
		}
		n.record.Record(n.now, e, out)
	}
	return actions
}

// reach steps a host later, once it is not paused.
func (n *network) reach(h *host, d time.Duration, run func()) {
	n.after(d, func() {
		switch {
		case !h.up:
		case h.paused.After(n.now):
			n.reach(h, h.paused.Sub(n.now), run)
		default:
			run()
		}
	})
}

func (n *network) delay() time.Duration {
	if n.rng.Float64() < n.late {
		return time.Duration(n.rng.Int64N(int64(500 * time.Millisecond)))
	}
	return time.Millisecond/2 + time.Duration(n.rng.Int64N(int64(2*time.Millisecond)))
}

func (n *network) at(a netip.AddrPort) *host {
	for _, h := range slices.Backward(n.hosts) {
		if h.up && h.core.Self.Addr == a {
			return h
		}
	}
	return nil
}

func (n *network) act(h *host, a Action) {
	switch a := a.(type) {
	case Send:
		n.send(h, a)
	case Ahead:
		h.ahead = max(h.ahead, a.Version)
	case Alarm:
		n.alarms++
	case Changed:
		if n.changed != nil {
			n.changed(h, a)
		}
	case Exchange:
		n.exchange(h, a)
	case ReadSeeds:
		n.reads++
		e := n.seeds[a.Domain]
		e.Domain, e.Failed = a.Domain, n.storeOut
		n.reach(h, n.delay(), func() { n.step(h, e) })
	case WriteSeeds:
		n.writes++
		n.writeSeeds(h, a)
	case ReadDomains:
		n.reads++
		e := n.domains
		e.Failed = n.storeOut
		n.reach(h, n.delay(), func() { n.step(h, e) })
	case WriteDomains:
		n.writes++
		if !n.storeOut && a.Revision == n.domains.Revision {
			n.domains = DomainsRead{Revision: a.Revision + 1, Index: a.Index}
			return
		}
		e := n.domains
		n.reach(h, n.delay(), func() { n.step(h, e) })
	}
}

func (n *network) writeSeeds(h *host, a WriteSeeds) {
	if !n.storeOut && a.Revision == n.seeds[a.Domain].Revision {
		n.seeds[a.Domain] = SeedsRead{Domain: a.Domain, Revision: a.Revision + 1, Seeds: a.Seeds}
		return
	}
	e := n.seeds[a.Domain]
	e.Domain, e.Conflict, e.Failed = a.Domain, true, n.storeOut
	n.reach(h, n.delay(), func() { n.step(h, e) })
}

func (n *network) send(h *host, s Send) {
	b, err := s.Probe.MarshalMsg(nil)
	if err != nil || len(b) > wire.MaxProbeSize {
		panic(fmt.Sprintf("datagram of %d bytes: %v", len(b), err))
	}
	n.bytes += len(b) + packetOverhead
	to := n.at(s.To)
	if to == nil || n.rng.Float64() < n.loss || n.cut(h, to) {
		return
	}
	r := Received{From: h.core.Self.Addr, Size: len(b)}
	if err := decode(b, &r.Probe); err != nil {
		panic(err)
	}
	n.reach(to, n.delay(), func() { n.step(to, r) })
}

func (n *network) exchange(h *host, x Exchange) {
	done := Exchanged{Peer: x.Peer.ID, Request: x.Request, Failed: true}
	to := n.at(x.Peer.Addr)
	if to == nil || n.cut(h, to) || to.paused.After(n.now) || to.core.Self.ID != x.Peer.ID {
		n.reach(h, time.Second, func() { n.step(h, done) })
		return
	}
	n.reach(to, n.delay(), func() {
		for _, a := range n.decide(to, Asked{Request: x.Request}) {
			r, ok := a.(Answer)
			if !ok {
				n.act(to, a)
				continue
			}
			done.Reply, done.Failed = r.Reply, false
			n.bytes += done.Request.Msgsize() + done.Reply.Msgsize()
			n.reach(h, n.delay(), func() { n.step(h, done) })
		}
	})
}

// disagreement names a host whose view is not exactly the hosts that are up, or returns "".
func (n *network) disagreement() string {
	var want []uint64
	for _, h := range n.hosts {
		if h.up {
			want = append(want, h.core.Self.ID)
		}
	}
	slices.Sort(want)
	for _, h := range n.hosts {
		if !h.up {
			continue
		}
		var got []uint64
		var d digest
		for _, m := range h.core.alive() {
			got = append(got, m.ID)
			d.toggle(&m)
		}
		if d != h.core.digest {
			return fmt.Sprintf("%s: the digest is not that of its members", h.core.Self.Addr)
		}
		if !slices.Equal(got, want) {
			return fmt.Sprintf("at %s: %s holds %d members, %d are up", n.now.Format("15:04:05.000"), h.core.Self.Addr, len(got), len(want))
		}
	}
	return ""
}

// stale names a host that is up and whose digest is not that of the others, or returns "".
func (n *network) stale() string {
	var first *host
	for _, h := range n.hosts {
		if !h.up {
			continue
		}
		if first == nil {
			first = h
		}
		if h.core.digest != first.core.digest {
			return fmt.Sprintf("at %s: %s and %s hold other states of the same members", n.now.Format("15:04:05.000"), h.core.Self.Addr, first.core.Self.Addr)
		}
	}
	return ""
}

// settle runs until all agree on who is up and in which state, and returns how long that took or -1.
func (n *network) settle(limit time.Duration) time.Duration {
	start := n.now
	for n.now.Sub(start) < limit {
		if n.disagreement() == "" && n.stale() == "" {
			return n.now.Sub(start)
		}
		n.run(tickPeriod)
	}
	return -1
}
