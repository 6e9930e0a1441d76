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

// fakeServer answers calls after a fixed time, so many at once, and queues or refuses the rest.
type fakeServer struct {
	Member
	takes    time.Duration
	dead     bool // attempts are refused: no connection
	silent   bool // attempts are never answered
	lies     bool // claims that all slots are free
	shed     bool // refuses everything, claiming free slots
	status   int  // of its answers, 0 for 200
	queueMax int

	running int
	queue   []SendAttempt
	ran     map[uint64]int // times each call ran
}

// moment is an event that happens later.
type moment struct {
	at   time.Duration
	seq  int
	what func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || (m[i].at == m[j].at && m[i].seq < m[j].seq)
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

// yard drives a core against fake servers on a clock of its own.
type yard struct {
	core    *Core
	servers map[uint64]*fakeServer
	policy  *Policy
	record  *trace.Recorder

	now      time.Duration
	seq      int
	due      moments
	started  map[uint64]time.Duration
	took     []time.Duration // of answered calls
	refused  map[wire.RefusalReason]int
	attempts int
	sentTo   map[uint64]int
	reasons  map[ChoiceReason]int
}

func newYard(s Settings, servers ...*fakeServer) *yard {
	y := &yard{
		core: &Core{Settings: s.WithDefaults(), Rand: NewRand(1)}, servers: map[uint64]*fakeServer{},
		policy:  &Policy{Service: "bookings", Route: "diary", Targets: []Target{{Service: "bookings", Weight: 1}}, Idempotent: true, Attempts: 2, Locality: document.LocalityPrefer},
		started: map[uint64]time.Duration{}, refused: map[wire.RefusalReason]int{}, sentTo: map[uint64]int{}, reasons: map[ChoiceReason]int{},
	}
	for _, s := range servers {
		s.ran = map[uint64]int{}
		y.servers[s.ID] = s
	}
	return y
}

// fakeServers returns n servers of 12 slots, two in each failure domain.
func fakeServers(n int, takes time.Duration) []*fakeServer {
	out := []*fakeServer{}
	for i := range n {
		m := Member{ID: uint64(i + 1), Service: "bookings", Domain: []string{"mid-a", "mid-b", "mid-c"}[i/2%3], Region: "midlands", Slots: 12, Ready: true, Age: time.Hour}
		out = append(out, &fakeServer{Member: m, takes: takes, queueMax: 24})
	}
	return out
}

func (y *yard) after(d time.Duration, what func()) {
	y.seq++
	heap.Push(&y.due, moment{at: y.now + d, seq: y.seq, what: what})
}

func (y *yard) time() time.Time { return time.Unix(0, 0).UTC().Add(y.now) }

func (y *yard) step(e Event) {
	now := y.time()
	actions := y.core.Step(now, e)
	if y.record != nil {
		out, _ := trace.Outcomes(actions)
		y.record.Record(now, e, out)
	}
	for _, a := range actions {
		y.do(a)
	}
}

func (y *yard) do(a Action) {
	switch a := a.(type) {
	case SendAttempt:
		y.attempts++
		y.sentTo[a.Member]++
		y.reasons[a.Reason]++
		y.serve(y.servers[a.Member], a)
	case AcceptAnswer:
		y.took = append(y.took, y.now-y.started[a.Call])
		y.step(AttemptEnded{Call: a.Call, Attempt: a.Attempt})
	case RefuseCall:
		y.refused[a.Reason]++
	case SetTimer:
		y.after(a.After, func() { y.step(TimerFired{Call: a.Call, Attempt: a.Attempt, Timer: a.Timer}) })
	}
}

func (y *yard) serve(s *fakeServer, a SendAttempt) {
	const network = 200 * time.Microsecond
	refuse := func(r wire.RefusalReason, l Load) {
		y.after(network, func() {
			y.step(AttemptRefused{Call: a.Call, Attempt: a.Attempt, Reason: r, RetryAfter: 50 * time.Millisecond, Load: l})
		})
	}
	switch {
	case s.dead:
		refuse(wire.ReasonConnect, Load{})
	case s.silent:
	case s.shed:
		refuse(wire.ReasonShed, Load{Free: s.Slots, Slots: s.Slots})
	case s.running < s.Slots:
		y.begin(s, a)
	case len(s.queue) < s.queueMax:
		s.queue = append(s.queue, a)
	default:
		refuse(wire.ReasonQueueFull, s.load())
	}
}

func (y *yard) begin(s *fakeServer, a SendAttempt) {
	s.running++
	s.ran[a.Call]++
	y.after(s.takes, func() {
		l := s.load()
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			y.begin(s, next)
		}
		y.step(AttemptAnswered{Call: a.Call, Attempt: a.Attempt, Status: cmp.Or(s.status, 200), Load: l})
	})
}

func (s *fakeServer) load() Load {
	if s.lies {
		return Load{Free: s.Slots, Slots: s.Slots}
	}
	return Load{Free: s.Slots - s.running - len(s.queue), Slots: s.Slots, Backlog: time.Duration(len(s.queue)) * s.takes / time.Duration(s.Slots)}
}

// table gives the core the servers as members.
func (y *yard) table() {
	e := TableChanged{Version: 1, Domain: "mid-a", Region: "midlands"}
	for id := range y.servers {
		e.Members = append(e.Members, y.servers[id].Member)
	}
	slices.SortFunc(e.Members, func(a, b Member) int { return int(a.ID) - int(b.ID) })
	y.step(e)
}

// run sends n calls, one each interval, and works off everything.
func (y *yard) run(n int, interval time.Duration) {
	y.table()
	for i := range n {
		y.after(time.Duration(i)*interval, func() {
			id := uint64(len(y.started) + 1)
			y.started[id] = y.now
			y.step(CallArrived{Call: id, Policy: y.policy, Remaining: 5 * time.Second})
		})
	}
	for y.due.Len() > 0 {
		m := heap.Pop(&y.due).(moment)
		y.now = m.at
		m.what()
	}
}

// percentile returns the time within which a share of the answers came.
func (y *yard) percentile(share float64) time.Duration {
	if len(y.took) == 0 {
		return 0
	}
	slices.Sort(y.took)
	return y.took[int(share*float64(len(y.took)-1))]
}
