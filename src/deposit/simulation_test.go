package deposit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	testExpiry  = 24 * time.Hour
	testTimeout = 30 * time.Second
	testSkew    = time.Minute // by which the second holder's clock is ahead
)

// simulation runs requests of several holders against one slot of a store and one backend server, and checks that no key runs twice within its expiry.
type simulation struct {
	choose        func(n int, label string) int // chooses one of n options, 0 to n-1; where faults are among them, 0 is none
	faultBudget   int                           // faults that may still be injected
	now           time.Time
	revision      uint64
	slot          wire.ClaimSlot
	history       []SlotRead // the slot before each write
	delayedWrites []SwapSlot // may still take effect
	holders       []*holder
	requests      []*request
	executions    map[string][]execution
	failure       string // of the first failed check
}

type holder struct {
	core    *Core
	skew    time.Duration
	crashed bool
}

type execution struct {
	at        time.Time
	requestID int
}

// request is a request with an idempotency key and its state at its holder.
type request struct {
	id          int
	key         string
	holder      *holder
	lastCall    uint64
	pendingCall Action // store call not answered yet
	started     bool
	done        bool
	decision    Decision
	claim       Claim
	ending      Ending
	executed    bool
	uncertain   bool // its outcome may not be recorded, so a repeat of its key need not get Replay or Granted
}

func newSimulation(holders, faults int, choose func(int, string) int) *simulation {
	s := &simulation{choose: choose, faultBudget: faults, now: time.Unix(0, 0).UTC(), executions: map[string][]execution{}}
	for i := range holders {
		s.holders = append(s.holders, newHolder(uint64(i+1), time.Duration(i%2)*testSkew))
	}
	return s
}

func newHolder(id uint64, skew time.Duration) *holder {
	return &holder{
		core: &Core{Holder: id, Expiry: testExpiry, Timeout: testTimeout, Rand: rand.New(rand.NewPCG(id, 0))},
		skew: skew,
	}
}

func (s *simulation) addRequest(h *holder, key string) *request {
	r := &request{id: len(s.requests), key: key, holder: h}
	s.requests = append(s.requests, r)
	return r
}

// injectFault chooses one of n faults, or 0 for none; a fault counts against faultBudget.
func (s *simulation) injectFault(n int, label string) int {
	if s.faultBudget == 0 {
		return 0
	}
	choice := s.choose(n+1, label)
	if choice > 0 {
		s.faultBudget--
	}
	return choice
}

// step may inject events and advances one request. It reports whether the simulation can continue.
func (s *simulation) step() bool {
	var ready []*request
	for _, r := range s.requests {
		if !r.done && !r.holder.crashed {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 {
		return false
	}
	s.injectEvent()
	r := ready[s.choose(len(ready), "request")]
	if !r.holder.crashed {
		s.advance(r)
	}
	return s.failure == ""
}

// injectEvent may apply a delayed write, and may advance the clock or crash a holder.
func (s *simulation) injectEvent() {
	if n := len(s.delayedWrites); n > 0 && s.choose(2, "apply") == 1 {
		s.write(s.delayedWrites[0])
		s.delayedWrites = s.delayedWrites[1:]
	}
	busy := s.busyHolders()
	if len(busy) == 0 {
		return
	}
	switch event := s.injectFault(2+len(busy), "event"); event {
	case 0:
	case 1:
		s.now = s.now.Add(testTimeout)
	case 2:
		s.now = s.now.Add(testExpiry)
	default:
		busy[event-3].crashed = true
	}
}

// busyHolders returns the holders that are serving a request and have not crashed.
func (s *simulation) busyHolders() []*holder {
	var busy []*holder
	for _, r := range s.requests {
		if r.started && !r.done && !r.holder.crashed && !slices.Contains(busy, r.holder) {
			busy = append(busy, r.holder)
		}
	}
	return busy
}

// advance answers the request's pending store call, or sends its holder the next event.
func (s *simulation) advance(r *request) {
	switch {
	case r.pendingCall != nil:
		s.stepCore(r, s.executeStoreCall(r.pendingCall))
	case !r.started:
		r.started = true
		s.stepCore(r, Arrived{Call: s.nextCall(r), Service: "s", Key: r.key, Fingerprint: 7})
		s.stepCore(r, s.executeStoreCall(r.pendingCall))
	case r.ending == "":
		s.stepCore(r, Confirming{Call: s.nextCall(r), Claim: r.claim})
	default:
		s.stepCore(r, Ended{Call: s.nextCall(r), Claim: r.claim, Ending: r.ending, Record: recordOf(r.id)})
		if !r.done {
			s.stepCore(r, s.executeStoreCall(r.pendingCall))
		}
	}
}

func (s *simulation) nextCall(r *request) uint64 {
	r.lastCall++
	return uint64(r.id)*1000 + r.lastCall
}

func recordOf(id int) Record { return Record{Status: 200, Body: []byte{byte(id)}} }

// stepCore steps the holder's core and handles its actions.
func (s *simulation) stepCore(r *request, e Event) {
	r.pendingCall = nil
	for _, a := range r.holder.core.Step(s.now.Add(r.holder.skew), e) {
		switch a := a.(type) {
		case ReadSlot, SwapSlot:
			r.pendingCall = a
		case Decide:
			s.onDecide(r, a)
		case Close:
			s.onClose(r, a)
		}
	}
	// Without a digest, no claim was granted.
	if r.pendingCall == nil && r.decision != nil && r.claim.Digest == nil {
		r.done = true
	}
}

func (s *simulation) onDecide(r *request, d Decide) {
	r.decision = d.Decision
	switch d := d.Decision.(type) {
	case Granted:
		r.claim = d.Claim
	case Replay:
		s.check(len(d.Record.Body) == 1 && s.wasExecuted(r.key, int(d.Record.Body[0])), "request %d: replay of an outcome of a request that did not run", r.id)
	}
}

func (s *simulation) onClose(r *request, c Close) {
	switch {
	case r.ending != "":
		r.done = true
		r.uncertain = !c.OK || r.ending == EndingAbandon
	case c.OK:
		s.send(r)
	default:
		r.ending = EndingRelease
	}
}

// send sends a request to the backend server, which may run it and whose answer may be lost.
func (s *simulation) send(r *request) {
	switch s.injectFault(4, "send") {
	case 0:
		s.execute(r)
		r.ending = EndingFinish
	case 1: // refused before it ran
		r.ending = EndingRelease
	case 2: // ran, the answer is lost
		s.execute(r)
		r.ending = EndingAbandon
	case 3: // the request is lost before it runs
		r.ending = EndingAbandon
	case 4: // refused before it ran, and sent again
	}
}

func (s *simulation) execute(r *request) {
	for _, earlier := range s.executions[r.key] {
		interval := s.now.Sub(earlier.at)
		// Another holder's clock may be testSkew ahead, and the earlier request may have been sent maxSendWindow after its claim's timestamp.
		s.check(interval >= testExpiry-testSkew-maxSendWindow, "request %d ran %v after request %d with the same key", r.id, interval, earlier.requestID)
	}
	r.executed = true
	s.executions[r.key] = append(s.executions[r.key], execution{at: s.now, requestID: r.id})
}

func (s *simulation) wasExecuted(key string, id int) bool {
	for _, e := range s.executions[key] {
		if e.requestID == id {
			return true
		}
	}
	return false
}

func (s *simulation) check(ok bool, format string, args ...any) {
	if !ok && s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// runToEnd runs all requests of live holders to their end without faults and marks those whose outcome is uncertain.
func (s *simulation) runToEnd() {
	s.faultBudget = 0
	s.delayedWrites = nil
	noFault := func(int, string) int { return 0 }
	s.choose = noFault
	for s.step() {
	}
	for _, r := range s.requests {
		r.uncertain = r.uncertain || (r.holder.crashed && r.started && !r.done) || len(r.holder.core.unrecordedReleases) > 0
		_, refused := r.decision.(NotRun)
		s.check(!refused || !r.executed, "request %d was refused as not run and ran", r.id)
	}
}

// checkRepeat checks the decision on a repeat of the key through a new holder.
func (s *simulation) checkRepeat(key string) {
	certain := true
	for _, r := range s.requests {
		certain = certain && (r.key != key || !r.uncertain)
	}
	r := s.addRequest(newHolder(99, 0), key)
	s.holders = append(s.holders, r.holder)
	for r.decision == nil && s.failure == "" {
		s.advance(r)
	}
	_, granted := r.decision.(Granted)
	_, replayed := r.decision.(Replay)
	last := time.Time{}
	for _, e := range s.executions[key] {
		last = e.at
	}
	// The bound is that of execute.
	executedRecently := len(s.executions[key]) > 0 && s.now.Sub(last) < testExpiry-testSkew-maxSendWindow
	_, refused := r.decision.(NotRun)
	s.check(!executedRecently || (!granted && !refused), "a repeat got %T after a run", r.decision)
	s.check(!executedRecently || !certain || replayed, "a repeat of a recorded run got %T", r.decision)
	s.check(len(s.executions[key]) > 0 || !certain || granted, "a repeat got %T though nothing ran", r.decision)
}
