package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	poisonContent  = 1 // crashes each server that runs it; higher numbers are other requests
	popularContent = 2 // requested everywhere all the time
	slowContent    = 3 // the same, and takes a second
	firstOther     = 4

	simStableWindow = 3 * time.Second
	allowedRepeats  = 3
)

// simEvent is something that happens in a simulation.
type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simDaemon is a daemon with the backend server beside it.
type simDaemon struct {
	index       int
	core        *Core
	starts      int // of the daemon
	up          bool
	serverUp    bool
	serverStart int
	running     map[int]uint64 // contents by run
	troubled    time.Time      // last time at which it was not in touch
}

// simulation runs daemons that exchange crashes over links with delays and cuts.
type simulation struct {
	rand    *rand.Rand
	now     time.Time
	events  simEvents
	order   int
	daemons []*simDaemon
	cut     map[int]bool // daemons that reach no other
	claims  map[string]bool
	noStore bool
	lastRun int
	lastID  uint64

	crashes  []time.Time // under the poison request
	sendings []time.Time // of the poison request, by daemons in touch
	refused  map[uint64]time.Time
	longest  time.Duration // for which a popular request was refused everywhere, without an answer in between
	probes   int
}

func newSimulation(seed uint64, daemons int) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), cut: map[int]bool{}, claims: map[string]bool{}, refused: map[uint64]time.Time{}}
	for i := range daemons {
		s.daemons = append(s.daemons, &simDaemon{index: i, core: &Core{}, up: true, serverUp: true, running: map[int]uint64{}, troubled: s.now.Add(-time.Hour)})
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), order: s.order, do: do})
}

func (s *simulation) run(length time.Duration) {
	end := s.now.Add(length)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.do()
	}
}

func (s *simulation) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rand.Int64N(int64(most-least)))
}

func (s *simulation) delay() time.Duration { return s.duration(time.Millisecond, 40*time.Millisecond) }

func (s *simulation) linked(a, b *simDaemon) bool {
	return a == b || a.up && b.up && !s.cut[a.index] && !s.cut[b.index]
}

// step passes an event to a daemon's core and tells the others what it says.
func (s *simulation) step(d *simDaemon, e Event) {
	for _, a := range d.core.Step(s.now, e) {
		broadcast, ok := a.(Broadcast)
		if !ok {
			continue
		}
		for _, to := range s.daemons {
			s.send(d, to, Received(broadcast))
		}
	}
}

func (s *simulation) send(from, to *simDaemon, e Received) {
	if from == to || !s.linked(from, to) {
		return
	}
	e.Crashes = slices.Clone(e.Crashes)
	starts := to.starts
	s.after(s.delay(), func() {
		if to.up && to.starts == starts {
			s.step(to, e)
		}
	})
}

// compare exchanges what two daemons know if it differs, as a call between them does.
func (s *simulation) compare(a, b *simDaemon) {
	if s.linked(a, b) && a.core.Digest() != b.core.Digest() {
		s.send(a, b, Received{Crashes: a.core.Crashes(), Probes: a.core.Probes()})
		s.send(b, a, Received{Crashes: b.core.Crashes(), Probes: b.core.Probes()})
	}
}

// request sends a request from one daemon to the server beside another one.
func (s *simulation) request(from *simDaemon, content uint64) {
	to := s.daemons[s.rand.IntN(len(s.daemons))]
	if !from.up || !to.up || !to.serverUp || !s.linked(from, to) {
		return
	}
	s.compare(from, to)
	if _, refused := from.core.Verdict(s.now, content).(Refused); refused {
		s.countRefused(content)
		return
	}
	starts := to.starts
	s.after(s.delay(), func() {
		if to.up && to.starts == starts && to.serverUp && s.admit(to, content) {
			s.runAt(from, to, content)
		}
	})
}

func (s *simulation) admit(d *simDaemon, content uint64) bool {
	switch v := d.core.Verdict(s.now, content).(type) {
	case Refused:
		s.countRefused(content)
		return false
	case ProbeDue:
		if s.noStore || s.cut[d.index] {
			s.step(d, ProbeFailed{Content: content})
			return false
		}
		key := fmt.Sprint(content, "/", v.Number)
		granted := !s.claims[key]
		s.claims[key] = true
		s.step(d, ProbeClaimed{Probe: Probe{Content: content, Number: v.Number}, Own: granted})
		if granted {
			s.probes++
		}
		return granted
	}
	return true
}

func (s *simulation) countRefused(content uint64) {
	first, ok := s.refused[content]
	if !ok {
		s.refused[content] = s.now
		return
	}
	if content == popularContent || content == slowContent {
		s.longest = max(s.longest, s.now.Sub(first))
	}
}

func (s *simulation) inTouch(d *simDaemon) bool {
	return d.up && !s.cut[d.index] && s.now.Sub(d.troubled) >= simStableWindow
}

func (s *simulation) runAt(from, to *simDaemon, content uint64) {
	if content == poisonContent && s.inTouch(from) && s.inTouch(to) {
		s.sendings = append(s.sendings, s.now)
	}
	s.lastRun++
	run, start := s.lastRun, to.serverStart
	to.running[run] = content
	took := s.duration(10*time.Millisecond, 200*time.Millisecond)
	if content == slowContent {
		took += 800 * time.Millisecond
	}
	s.after(took, func() {
		if to.serverStart != start || !to.serverUp {
			return
		}
		if content == poisonContent {
			s.crashes = append(s.crashes, s.now)
			s.crashServer(to)
			return
		}
		delete(to.running, run)
		delete(s.refused, content)
		if to.up {
			s.step(to, Answered{Content: content, Took: took})
		}
	})
}

// crashServer ends a server; the daemon beside it sees it, unless it is down.
func (s *simulation) crashServer(d *simDaemon) {
	if !d.serverUp {
		return
	}
	d.serverUp = false
	instance := fmt.Sprint(d.index, "-", d.serverStart)
	d.serverStart++
	seen := map[uint64]bool{}
	var contents []uint64
	for _, content := range d.running {
		if !seen[content] {
			seen[content] = true
			contents = append(contents, content)
		}
	}
	d.running = map[int]uint64{}
	if d.up && len(contents) > 0 {
		s.lastID++
		s.step(d, Crashed{ID: s.lastID, Instance: instance, Contents: contents})
	}
	s.after(s.duration(500*time.Millisecond, 4*time.Second), func() { d.serverUp = true })
}

// restart restarts a daemon, which forgets all and asks two others.
func (s *simulation) restart(d *simDaemon) {
	d.up, d.troubled = false, s.now
	d.starts++
	s.after(s.duration(100*time.Millisecond, 2*time.Second), func() {
		d.up, d.core, d.troubled = true, &Core{}, s.now
		for range startPeers {
			s.compare(d, s.daemons[s.rand.IntN(len(s.daemons))])
		}
	})
}

func (s *simulation) cutOff(d *simDaemon) {
	s.cut[d.index] = true
	s.after(s.duration(100*time.Millisecond, 5*time.Second), func() {
		delete(s.cut, d.index)
		d.troubled = s.now
	})
}

// repeat does something again and again, with random pauses.
func (s *simulation) repeat(least, most time.Duration, do func()) {
	s.after(s.duration(least, most), func() {
		do()
		s.repeat(least, most, do)
	})
}

func (s *simulation) randomDaemon() *simDaemon { return s.daemons[s.rand.IntN(len(s.daemons))] }

// Whatever daemons restart, are cut off or lose their power, a request that crashes servers reaches
// them at most three times once all daemons in touch could know of the third crash, at least one
// daemon having kept what it knew, and requests that all callers send are never refused for longer
// than until its first probe.
func TestSimulatedCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 24).Draw(t, "daemons"))
		restarts, cuts, powerLoss := rapid.Bool().Draw(t, "restarts"), rapid.Bool().Draw(t, "cuts"), rapid.Bool().Draw(t, "power")
		other := uint64(firstOther)
		for _, d := range s.daemons {
			s.repeat(time.Millisecond, 60*time.Millisecond, func() { s.request(d, popularContent) })
			s.repeat(50*time.Millisecond, 500*time.Millisecond, func() { s.request(d, slowContent) })
			s.repeat(time.Millisecond, 40*time.Millisecond, func() {
				other++
				s.request(d, other)
			})
			s.repeat(20*time.Millisecond, 900*time.Millisecond, func() { s.request(d, poisonContent) })
		}
		keeper := s.daemons[0] // neither restarted nor cut off
		trouble := func(do func(d *simDaemon)) {
			s.repeat(time.Second, 6*time.Second, func() {
				if d := s.randomDaemon(); d != keeper && d.up {
					do(d)
				}
			})
		}
		if restarts {
			trouble(s.restart)
		}
		if cuts {
			trouble(s.cutOff)
		}
		if powerLoss {
			s.repeat(3*time.Second, 15*time.Second, func() {
				first := s.rand.IntN(3)
				for i := first; i < len(s.daemons); i += 3 {
					s.crashServer(s.daemons[i])
				}
			})
		}
		s.repeat(2*time.Second, 20*time.Second, func() {
			s.noStore = true
			s.after(s.duration(time.Second, 8*time.Second), func() { s.noStore = false })
		})
		s.run(100 * time.Second)
		if len(s.crashes) < quarantineThreshold {
			t.Skip("too few crashes")
		}
		late := 0
		for _, at := range s.sendings {
			if at.After(s.crashes[2].Add(simStableWindow)) {
				late++
			}
		}
		if late > allowedRepeats {
			t.Errorf("%d sendings later than %v after the third crash; %d crashes, %d probes", late, simStableWindow, len(s.crashes), s.probes)
		}
		if most := probeDelays[0] + time.Second; s.longest > most {
			t.Errorf("a popular request refused for %v, at most %v stated", s.longest, most)
		}
	})
}
