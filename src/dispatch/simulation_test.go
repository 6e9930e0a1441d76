package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// fakeServer answers calls after a fixed service time, as many at once as it has slots, and queues or refuses the others.
type fakeServer struct {
	Member
	serviceTime        time.Duration
	refusesConnections bool // attempts end with wire.ReasonConnect
	neverAnswers       bool // attempts are never answered
	reportsAllFree     bool // reports all slots as free, also when they are in use
	shedsAll           bool // refuses all attempts with wire.ReasonShed and reports all slots as free
	status             int  // of its answers, 0 for 200
	maxQueue           int

	running int
	queue   []SendAttempt
	runs    map[uint64]int // number of times that each call ran, by call
}

// scheduledEvent is a function to run at a time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap orders scheduled events by time, those of the same time as they were scheduled.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulation drives a core against fake servers in simulated time.
type simulation struct {
	core     *Core
	servers  map[uint64]*fakeServer
	policy   *Policy
	recorder *trace.Recorder

	now       time.Duration // since the start
	seq       int
	scheduled eventHeap
	arrivedAt map[uint64]time.Duration
	latencies []time.Duration // of answered calls
	refused   map[wire.RefusalReason]int
	attempts  int
	sentTo    map[uint64]int
	reasons   map[ChoiceReason]int
}

func newSimulation(s Settings, servers ...*fakeServer) *simulation {
	sim := &simulation{
		core: &Core{Settings: s.WithDefaults(), Rand: NewRand(1)}, servers: map[uint64]*fakeServer{},
		policy:    &Policy{Service: "bookings", Route: "diary", Targets: []Target{{Service: "bookings", Weight: 1}}, Idempotent: true, Attempts: 2, Locality: document.LocalityPrefer},
		arrivedAt: map[uint64]time.Duration{}, refused: map[wire.RefusalReason]int{}, sentTo: map[uint64]int{}, reasons: map[ChoiceReason]int{},
	}
	for _, s := range servers {
		s.runs = map[uint64]int{}
		sim.servers[s.ID] = s
	}
	return sim
}

// fakeServers returns n servers of 12 slots, two in each failure domain.
func fakeServers(n int, serviceTime time.Duration) []*fakeServer {
	out := []*fakeServer{}
	for i := range n {
		member := Member{ID: uint64(i + 1), Service: "bookings", Domain: []string{"mid-a", "mid-b", "mid-c"}[i/2%3], Region: "midlands", Slots: 12, Ready: true, Age: time.Hour}
		out = append(out, &fakeServer{Member: member, serviceTime: serviceTime, maxQueue: 24})
	}
	return out
}

// schedule runs a function after a duration.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.scheduled, scheduledEvent{at: sim.now + d, seq: sim.seq, run: run})
}

func (sim *simulation) currentTime() time.Time { return time.Unix(0, 0).UTC().Add(sim.now) }

// step passes an event to the core and applies the resulting actions.
func (sim *simulation) step(e Event) {
	now := sim.currentTime()
	actions := sim.core.Step(now, e)
	if sim.recorder != nil {
		out, _ := trace.Outcomes(actions)
		sim.recorder.Record(now, e, out)
	}
	for _, a := range actions {
		sim.apply(a)
	}
}

func (sim *simulation) apply(a Action) {
	switch a := a.(type) {
	case SendAttempt:
		sim.attempts++
		sim.sentTo[a.Member]++
		sim.reasons[a.Reason]++
		sim.receive(sim.servers[a.Member], a)
	case AcceptAnswer:
		sim.latencies = append(sim.latencies, sim.now-sim.arrivedAt[a.Call])
		sim.step(AttemptEnded{Call: a.Call, Attempt: a.Attempt})
	case RefuseCall:
		sim.refused[a.Reason]++
	case SetTimer:
		sim.schedule(a.After, func() { sim.step(TimerFired{Call: a.Call, Attempt: a.Attempt, Timer: a.Timer}) })
	}
}

// receive runs, queues or refuses an attempt at a server.
func (sim *simulation) receive(s *fakeServer, a SendAttempt) {
	const networkDelay = 200 * time.Microsecond
	refuse := func(r wire.RefusalReason, l Load) {
		sim.schedule(networkDelay, func() {
			sim.step(AttemptRefused{Call: a.Call, Attempt: a.Attempt, Reason: r, RetryAfter: 50 * time.Millisecond, Load: l})
		})
	}
	switch {
	case s.refusesConnections:
		refuse(wire.ReasonConnect, Load{})
	case s.neverAnswers:
	case s.shedsAll:
		refuse(wire.ReasonShed, Load{Free: s.Slots, Slots: s.Slots})
	case s.running < s.Slots:
		sim.start(s, a)
	case len(s.queue) < s.maxQueue:
		s.queue = append(s.queue, a)
	default:
		refuse(wire.ReasonQueueFull, s.load())
	}
}

// start runs an attempt at a server and then the next one in its queue.
func (sim *simulation) start(s *fakeServer, a SendAttempt) {
	s.running++
	s.runs[a.Call]++
	sim.schedule(s.serviceTime, func() {
		l := s.load()
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			sim.start(s, next)
		}
		sim.step(AttemptAnswered{Call: a.Call, Attempt: a.Attempt, Status: cmp.Or(s.status, 200), Load: l})
	})
}

func (s *fakeServer) load() Load {
	if s.reportsAllFree {
		return Load{Free: s.Slots, Slots: s.Slots}
	}
	return Load{Free: s.Slots - s.running - len(s.queue), Slots: s.Slots, Backlog: time.Duration(len(s.queue)) * s.serviceTime / time.Duration(s.Slots)}
}

// updateTable passes the servers to the core as the members of a new table.
func (sim *simulation) updateTable() {
	e := TableChanged{Version: 1, Domain: "mid-a", Region: "midlands"}
	for id := range sim.servers {
		e.Members = append(e.Members, sim.servers[id].Member)
	}
	slices.SortFunc(e.Members, func(a, b Member) int { return int(a.ID) - int(b.ID) })
	sim.step(e)
}

// run sends n calls, one per interval, and runs the simulation until nothing is scheduled.
func (sim *simulation) run(n int, interval time.Duration) {
	sim.updateTable()
	for i := range n {
		sim.schedule(time.Duration(i)*interval, func() {
			id := uint64(len(sim.arrivedAt) + 1)
			sim.arrivedAt[id] = sim.now
			sim.step(CallArrived{Call: id, Policy: sim.policy, Remaining: 5 * time.Second})
		})
	}
	for sim.scheduled.Len() > 0 {
		event := heap.Pop(&sim.scheduled).(scheduledEvent)
		sim.now = event.at
		event.run()
	}
}

// percentile returns the latency that a share of the answers did not exceed.
func (sim *simulation) percentile(share float64) time.Duration {
	if len(sim.latencies) == 0 {
		return 0
	}
	slices.Sort(sim.latencies)
	return sim.latencies[int(share*float64(len(sim.latencies)-1))]
}
