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
	testSkew    = time.Minute // of the second holder's clock
)

// world runs requests of several holders against one slot of a store and one backend server.
type world struct {
	choose   func(n int, label string) int // returns 0 to n-1, where 0 is the undisturbed way
	faults   int                           // disturbances left
	now      time.Time
	revision uint64
	slot     wire.ClaimSlot
	history  []SlotRead // the slot before each write
	flights  []SwapSlot
	holders  []*holder
	requests []*request
	runs     map[string][]run
	failure  string
}

type holder struct {
	core *Core
	skew time.Duration
	dead bool
}

type run struct {
	at      time.Time
	request int
}

// request is one request with an idempotency key as its holder serves it.
type request struct {
	id       int
	key      string
	holder   *holder
	calls    uint64
	next     Action // store call that waits for its answer
	begun    bool
	done     bool
	decision Decision
	claim    Claim
	ending   Ending
	ran      bool
	maybe    bool // a claim may stay in the store without an ending
}

func newWorld(holders, faults int, choose func(int, string) int) *world {
	w := &world{choose: choose, faults: faults, now: time.Unix(0, 0).UTC(), runs: map[string][]run{}}
	for i := range holders {
		w.holders = append(w.holders, newHolder(uint64(i+1), time.Duration(i%2)*testSkew))
	}
	return w
}

func newHolder(id uint64, skew time.Duration) *holder {
	return &holder{
		core: &Core{Holder: id, Expiry: testExpiry, Timeout: testTimeout, Rand: rand.New(rand.NewPCG(id, 0))},
		skew: skew,
	}
}

func (w *world) request(h *holder, key string) *request {
	r := &request{id: len(w.requests), key: key, holder: h}
	w.requests = append(w.requests, r)
	return r
}

// disturb returns 0, or a choice up to n that uses up one of the faults left.
func (w *world) disturb(n int, label string) int {
	if w.faults == 0 {
		return 0
	}
	k := w.choose(n+1, label)
	if k > 0 {
		w.faults--
	}
	return k
}

// step advances one request, or lets one of the world's own events happen.
func (w *world) step() bool {
	var ready []*request
	for _, r := range w.requests {
		if !r.done && !r.holder.dead {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 {
		return false
	}
	w.happen()
	r := ready[w.choose(len(ready), "request")]
	if !r.holder.dead {
		w.advance(r)
	}
	return w.failure == ""
}

// happen lands a write that was under way, kills a holder or lets time pass.
func (w *world) happen() {
	if n := len(w.flights); n > 0 && w.choose(2, "land") == 1 {
		w.write(w.flights[0])
		w.flights = w.flights[1:]
	}
	busy := w.busy()
	if len(busy) == 0 {
		return
	}
	switch k := w.disturb(2+len(busy), "event"); k {
	case 0:
	case 1:
		w.now = w.now.Add(testTimeout)
	case 2:
		w.now = w.now.Add(testExpiry)
	default:
		busy[k-3].dead = true
	}
}

// busy returns the live holders that serve a request.
func (w *world) busy() []*holder {
	var busy []*holder
	for _, r := range w.requests {
		if r.begun && !r.done && !r.holder.dead && !slices.Contains(busy, r.holder) {
			busy = append(busy, r.holder)
		}
	}
	return busy
}

func (w *world) advance(r *request) {
	switch {
	case r.next != nil:
		w.act(r, w.answer(r.next))
	case !r.begun:
		r.begun = true
		w.act(r, Arrived{Call: w.call(r), Service: "s", Key: r.key, Fingerprint: 7})
		w.act(r, w.answer(r.next))
	case r.ending == "":
		w.act(r, Confirming{Call: w.call(r), Claim: r.claim})
	default:
		w.act(r, Ended{Call: w.call(r), Claim: r.claim, Ending: r.ending, Record: record(r.id)})
		if !r.done {
			w.act(r, w.answer(r.next))
		}
	}
}

func (w *world) call(r *request) uint64 {
	r.calls++
	return uint64(r.id)*1000 + r.calls
}

func record(id int) Record { return Record{Status: 200, Body: []byte{byte(id)}} }

// act steps the holder's core and takes in its actions.
func (w *world) act(r *request, e Event) {
	r.next = nil
	for _, a := range r.holder.core.Step(w.now.Add(r.holder.skew), e) {
		switch a := a.(type) {
		case ReadSlot, SwapSlot:
			r.next = a
		case Decide:
			w.decided(r, a)
		case Close:
			w.closed(r, a)
		}
	}
	if r.next == nil && r.decision != nil && r.claim.Digest == nil {
		r.done = true
	}
}

func (w *world) decided(r *request, d Decide) {
	r.decision = d.Decision
	switch d := d.Decision.(type) {
	case Granted:
		r.claim = d.Claim
	case Replay:
		w.check(len(d.Record.Body) == 1 && w.ranAs(r.key, int(d.Record.Body[0])), "request %d: replay of an outcome that nobody had", r.id)
	}
}

func (w *world) closed(r *request, c Close) {
	switch {
	case r.ending != "":
		r.done = true
		r.maybe = !c.OK || r.ending == EndingAbandon
	case c.OK:
		w.send(r)
	default:
		r.ending = EndingRelease
	}
}

// send lets the backend server run a request, and tells the holder or not.
func (w *world) send(r *request) {
	switch w.disturb(4, "send") {
	case 0:
		w.run(r)
		r.ending = EndingFinish
	case 1: // refused before it ran
		r.ending = EndingRelease
	case 2: // ran, the answer is lost
		w.run(r)
		r.ending = EndingAbandon
	case 3: // lost before it ran
		r.ending = EndingAbandon
	case 4: // refused before it ran, and sent once more
	}
}

func (w *world) run(r *request) {
	for _, old := range w.runs[r.key] {
		apart := w.now.Sub(old.at)
		w.check(apart >= testExpiry-testSkew-maxWindow, "request %d ran %v after request %d with the same key", r.id, apart, old.request)
	}
	r.ran = true
	w.runs[r.key] = append(w.runs[r.key], run{at: w.now, request: r.id})
}

func (w *world) ranAs(key string, id int) bool {
	for _, x := range w.runs[key] {
		if x.request == id {
			return true
		}
	}
	return false
}

func (w *world) check(ok bool, format string, args ...any) {
	if !ok && w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// finish lets all live requests end undisturbed.
func (w *world) finish() {
	w.faults = 0
	w.flights = nil
	first := func(int, string) int { return 0 }
	w.choose = first
	for w.step() {
	}
	for _, r := range w.requests {
		r.maybe = r.maybe || (r.holder.dead && r.begun && !r.done) || len(r.holder.core.strays) > 0
		_, refused := r.decision.(NotRun)
		w.check(!refused || !r.ran, "request %d was refused as not run and ran", r.id)
	}
}

// probe checks what a repeat through a new holder is told in the end.
func (w *world) probe(key string) {
	settled := true
	for _, r := range w.requests {
		settled = settled && (r.key != key || !r.maybe)
	}
	r := w.request(newHolder(99, 0), key)
	w.holders = append(w.holders, r.holder)
	for r.decision == nil && w.failure == "" {
		w.advance(r)
	}
	_, granted := r.decision.(Granted)
	_, replay := r.decision.(Replay)
	last := time.Time{}
	for _, x := range w.runs[key] {
		last = x.at
	}
	ran := len(w.runs[key]) > 0 && w.now.Sub(last) < testExpiry-testSkew-maxWindow
	_, refused := r.decision.(NotRun)
	w.check(!ran || (!granted && !refused), "a repeat got %T after a run", r.decision)
	w.check(!ran || !settled || replay, "a repeat of a recorded run got %T", r.decision)
	w.check(len(w.runs[key]) > 0 || !settled || granted, "a repeat got %T though nothing ran", r.decision)
}
