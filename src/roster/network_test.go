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

// simNetwork runs cores against each other on a simulated clock.
type simNetwork struct {
	now          time.Time
	rng          *rand.Rand
	timing       Timing
	lossShare    float64                  // share of datagrams that are lost
	delayedShare float64                  // share of datagrams that take up to half a second
	partitioned  func(a, b *simHost) bool // reports whether two hosts cannot reach each other
	storeDown    bool
	hosts        []*simHost
	seeds        map[string]SeedsRead // records in the store, by failure domain
	domains      DomainsRead          // index in the store
	queue        callQueue
	serial       int                         // of the last call scheduled
	bytes        int                         // of datagrams and exchanges, all hosts
	alarms       int                         // raised by all hosts
	reads        int                         // store reads of all hosts
	writes       int                         // store writes of all hosts
	onChange     func(h *simHost, a Changed) // nil for none
	recorder     *trace.Recorder             // of the first host's events, nil for none
}

// simHost is a core with the state of its process.
type simHost struct {
	core        *Core
	up          bool
	pausedUntil time.Time // end of a pause of the process
	version     uint64    // highest configuration version reported by Ahead
}

// timedCall is a call to make at a simulated time.
type timedCall struct {
	at     time.Time
	serial int // orders calls at the same time
	run    func()
}

// callQueue is a heap of calls by time, then by serial.
type callQueue []timedCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(timedCall)) }
func (q *callQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func newSimNetwork(seed uint64) *simNetwork {
	return &simNetwork{
		now:         time.Unix(0, 0).UTC(),
		rng:         rand.New(rand.NewPCG(seed, 1)),
		timing:      NewTiming(settings.ProfileFast),
		partitioned: func(_, _ *simHost) bool { return false },
		seeds:       map[string]SeedsRead{},
	}
}

// schedule makes a call after d.
func (n *simNetwork) schedule(d time.Duration, run func()) {
	n.serial++
	heap.Push(&n.queue, timedCall{at: n.now.Add(d), serial: n.serial, run: run})
}

// run advances the clock by d and makes the calls due until then.
func (n *simNetwork) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		call := heap.Pop(&n.queue).(timedCall)
		n.now = call.at
		call.run()
	}
	n.now = end
}

// start adds a host in a failure domain, at 127.0.0.1 and the port.
func (n *simNetwork) start(port int, domain int, withStore bool) *simHost {
	m := wire.Member{
		ID:        n.rng.Uint64(),
		Addr:      netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)),
		Service:   fmt.Sprintf("service-%d", port%3),
		Domain:    fmt.Sprintf("domain-%d", domain),
		Ready:     true,
		StartedAt: n.now.UnixMilli(),
	}
	h := &simHost{up: true, core: &Core{Self: m, Timing: n.timing, Rand: newRand(int64(m.ID)), HasStore: withStore}}
	if !withStore && len(n.hosts) > 0 {
		h.core.Peers = []netip.AddrPort{n.hosts[0].core.Self.Addr}
	}
	n.hosts = append(n.hosts, h)
	n.schedule(time.Duration(n.rng.Int64N(int64(tickPeriod))), func() { n.tick(h) })
	return h
}

func (n *simNetwork) tick(h *simHost) {
	if !h.up {
		return
	}
	if h.pausedUntil.After(n.now) {
		n.schedule(h.pausedUntil.Sub(n.now), func() { n.tick(h) })
		return
	}
	n.step(h, Tick{Version: h.version})
	n.schedule(tickPeriod, func() { n.tick(h) })
}

func (n *simNetwork) step(h *simHost, e Event) {
	for _, a := range n.stepAndRecord(h, e) {
		n.execute(h, a)
	}
}

func (n *simNetwork) stepAndRecord(h *simHost, e Event) []Action {
	actions := h.core.Step(n.now, e)
	if n.recorder != nil && h == n.hosts[0] {
		out, err := trace.Outcomes(actions)
		if err != nil {
			panic(err)
		}
		n.recorder.Record(n.now, e, out)
	}
	return actions
}

// whenRunning makes a call after d, once the host is not paused; it drops the call if the host is down.
func (n *simNetwork) whenRunning(h *simHost, d time.Duration, run func()) {
	n.schedule(d, func() {
		switch {
		case !h.up:
		case h.pausedUntil.After(n.now):
			n.whenRunning(h, h.pausedUntil.Sub(n.now), run)
		default:
			run()
		}
	})
}

// delay returns the random transit time of a message.
func (n *simNetwork) delay() time.Duration {
	if n.rng.Float64() < n.delayedShare {
		return time.Duration(n.rng.Int64N(int64(500 * time.Millisecond)))
	}
	return time.Millisecond/2 + time.Duration(n.rng.Int64N(int64(2*time.Millisecond)))
}

// hostAt returns the host that is up at an address, or nil.
func (n *simNetwork) hostAt(a netip.AddrPort) *simHost {
	for _, h := range slices.Backward(n.hosts) {
		if h.up && h.core.Self.Addr == a {
			return h
		}
	}
	return nil
}

func (n *simNetwork) execute(h *simHost, a Action) {
	switch a := a.(type) {
	case Send:
		n.send(h, a)
	case Ahead:
		h.version = max(h.version, a.Version)
	case Alarm:
		n.alarms++
	case Changed:
		if n.onChange != nil {
			n.onChange(h, a)
		}
	case Exchange:
		n.exchange(h, a)
	case ReadSeeds:
		n.reads++
		e := n.seeds[a.Domain]
		e.Domain, e.Failed = a.Domain, n.storeDown
		n.whenRunning(h, n.delay(), func() { n.step(h, e) })
	case WriteSeeds:
		n.writes++
		n.writeSeeds(h, a)
	case ReadDomains:
		n.reads++
		e := n.domains
		e.Failed = n.storeDown
		n.whenRunning(h, n.delay(), func() { n.step(h, e) })
	case WriteDomains:
		n.writes++
		if !n.storeDown && a.Revision == n.domains.Revision {
			n.domains = DomainsRead{Revision: a.Revision + 1, Index: a.Index}
			return
		}
		e := n.domains
		n.whenRunning(h, n.delay(), func() { n.step(h, e) })
	}
}

func (n *simNetwork) writeSeeds(h *simHost, a WriteSeeds) {
	if !n.storeDown && a.Revision == n.seeds[a.Domain].Revision {
		n.seeds[a.Domain] = SeedsRead{Domain: a.Domain, Revision: a.Revision + 1, Seeds: a.Seeds}
		return
	}
	e := n.seeds[a.Domain]
	e.Domain, e.Conflict, e.Failed = a.Domain, true, n.storeDown
	n.whenRunning(h, n.delay(), func() { n.step(h, e) })
}

func (n *simNetwork) send(h *simHost, s Send) {
	b, err := s.Probe.MarshalMsg(nil)
	if err != nil || len(b) > wire.MaxProbeSize {
		panic(fmt.Sprintf("datagram of %d bytes: %v", len(b), err))
	}
	n.bytes += len(b) + packetOverhead
	to := n.hostAt(s.To)
	if to == nil || n.rng.Float64() < n.lossShare || n.partitioned(h, to) {
		return
	}
	r := Received{From: h.core.Self.Addr, Size: len(b)}
	if err := decodeProbe(b, &r.Probe); err != nil {
		panic(err)
	}
	n.whenRunning(to, n.delay(), func() { n.step(to, r) })
}

func (n *simNetwork) exchange(h *simHost, x Exchange) {
	result := Exchanged{Peer: x.Peer.ID, Request: x.Request, Failed: true}
	to := n.hostAt(x.Peer.Addr)
	if to == nil || n.partitioned(h, to) || to.pausedUntil.After(n.now) || to.core.Self.ID != x.Peer.ID {
		n.whenRunning(h, time.Second, func() { n.step(h, result) })
		return
	}
	n.whenRunning(to, n.delay(), func() {
		for _, a := range n.stepAndRecord(to, Asked{Request: x.Request}) {
			r, ok := a.(Answer)
			if !ok {
				n.execute(to, a)
				continue
			}
			result.Reply, result.Failed = r.Reply, false
			n.bytes += result.Request.Msgsize() + result.Reply.Msgsize()
			n.whenRunning(h, n.delay(), func() { n.step(h, result) })
		}
	})
}

// memberMismatch describes a host whose live members are not exactly the hosts that are up, or whose digest does not
// match its members, or returns "".
func (n *simNetwork) memberMismatch() string {
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
		for _, m := range h.core.liveMembers() {
			got = append(got, m.ID)
			d.toggle(&m)
		}
		if d != h.core.digest {
			return fmt.Sprintf("%s: digest does not match its members", h.core.Self.Addr)
		}
		if !slices.Equal(got, want) {
			return fmt.Sprintf("at %s: %s holds %d members, want the %d that are up", n.now.Format("15:04:05.000"), h.core.Self.Addr, len(got), len(want))
		}
	}
	return ""
}

// digestMismatch describes a host that is up and whose digest differs from the others, or returns "".
func (n *simNetwork) digestMismatch() string {
	var first *simHost
	for _, h := range n.hosts {
		if !h.up {
			continue
		}
		if first == nil {
			first = h
		}
		if h.core.digest != first.core.digest {
			return fmt.Sprintf("at %s: %s and %s hold different states of the same members", n.now.Format("15:04:05.000"), h.core.Self.Addr, first.core.Self.Addr)
		}
	}
	return ""
}

// settle runs until all hosts agree on who is up and in which state, and returns how long that took, or -1 after limit.
func (n *simNetwork) settle(limit time.Duration) time.Duration {
	start := n.now
	for n.now.Sub(start) < limit {
		if n.memberMismatch() == "" && n.digestMismatch() == "" {
			return n.now.Sub(start)
		}
		n.run(tickPeriod)
	}
	return -1
}
