package booking

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	rateWindow     = 4 * time.Second // over which a backend server compares its calls with its limit
	rateTolerance  = 1.5             // times the limit that it accepts in a window
	rateExtraCalls = 5               // that it accepts beyond that
)

// rateSimulation plays calls against a Core whose backend server answers each after serviceTime and
// then names its limit.
type rateSimulation struct {
	core        *Core
	now         time.Time
	limit       float64 // noLimit for none
	serviceTime time.Duration
	ends        map[uint64]time.Time // of the running calls
	admitted    []time.Time
	refused     int
	lastCall    uint64
}

func newRateSimulation(slots int, limit float64, serviceTime time.Duration) *rateSimulation {
	s := &rateSimulation{
		core: &Core{Slots: slots, QueueLimit: 256, QueueWait: 5 * time.Second, FixedLimit: true}, now: time.Unix(1000, 0),
		limit: limit, serviceTime: serviceTime, ends: map[uint64]time.Time{},
	}
	s.core.Step(s.now, Health{State: HealthUp})
	return s
}

func (s *rateSimulation) step(e Event) {
	for _, a := range s.core.Step(s.now, e) {
		switch a := a.(type) {
		case Admit:
			s.admitted = append(s.admitted, s.now)
			s.ends[a.Call] = s.now.Add(s.serviceTime)
		case Refuse:
			s.refused++
		}
	}
}

// arrive passes a new call to the core.
func (s *rateSimulation) arrive(priority uint8) {
	s.lastCall++
	s.step(Arrive{Call: s.lastCall, Route: "r", Priority: priority, Timeout: s.serviceTime + 3*time.Second, Objective: s.serviceTime + 600*time.Millisecond})
}

// advance moves the clock, with the ends of calls and the Ticks that the core asks for.
func (s *rateSimulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		next, call := end, uint64(0)
		for id, at := range s.ends {
			if at.Before(next) || at.Equal(next) && call != 0 && id < call {
				next, call = at, id
			}
		}
		tick, ok := s.core.NextTick(s.now)
		if at := s.now.Add(tick); ok && at.Before(next) {
			s.now = at
			s.step(Tick{})
			continue
		}
		s.now = next
		if call == 0 {
			return
		}
		delete(s.ends, call)
		s.step(CallLimit{PerSecond: s.limit})
		s.step(Release{Call: call, Result: ResultAnswered, Took: s.serviceTime})
	}
}

// inWindow returns the most calls admitted in a window, from the given time on.
func (s *rateSimulation) inWindow(from time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range s.admitted {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(s.admitted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// However calls arrive, a backend server that has named a limit must not get more calls than it
// accepts in any window, nor after it has named another one.
func TestCoreCallLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.2, 60).Draw(t, "limit")
		service := time.Duration(rapid.IntRange(5, 2000).Draw(t, "service_ms")) * time.Millisecond
		s := newRateSimulation(rapid.IntRange(1, 100).Draw(t, "slots"), limit, service)
		rnd := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<30).Draw(t, "seed")), 0))
		pause := time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause_ms")) * time.Millisecond
		for _, s.limit = range []float64{limit, rapid.Float64Range(0.2, 60).Draw(t, "next_limit")} {
			s.step(CallLimit{PerSecond: s.limit})
			from := s.now
			for s.now.Sub(from) < 3*rateWindow {
				for range rnd.IntN(30) {
					s.arrive(uint8(rnd.IntN(3)))
				}
				s.advance(time.Duration(rnd.IntN(500)) * time.Millisecond)
			}
			if n := s.inWindow(from, rateWindow); float64(n) > rateTolerance*s.limit*rateWindow.Seconds()+rateExtraCalls {
				t.Fatalf("%d calls at a limit of %v", n, s.limit)
			}
			s.advance(pause)
		}
	})
}

// Calls that keep arriving faster than the limit must use it up.
func TestCoreCallLimitIsUsed(t *testing.T) {
	c := qt.New(t)
	const limit = 20.0
	s := newRateSimulation(12, limit, 250*time.Millisecond)
	s.step(CallLimit{PerSecond: limit})
	from := s.now
	for s.now.Sub(from) < 10*time.Second {
		s.arrive(2)
		s.advance(10 * time.Millisecond)
	}
	c.Check(float64(len(s.admitted)) >= 0.95*limit*10, qt.IsTrue, qt.Commentf("%d calls admitted", len(s.admitted)))
	c.Check(s.refused > 0, qt.IsTrue)
}

// A limit holds while answers name it: one answer without it, read late, must not lift it; answers
// without it for limitLinger must, and a changed one replaces it.
func TestCoreCallLimitLifted(t *testing.T) {
	const second = time.Second
	type answer struct {
		after time.Duration
		limit float64
	}
	tests := map[string]struct {
		answers []answer
		want    bool // it is limited afterwards
		rate    float64
	}{
		"named":                       {[]answer{{0, 5}}, true, 5},
		"one answer without":          {[]answer{{0, 5}, {10 * second, noLimit}}, true, 5},
		"answers without for a while": {[]answer{{0, 5}, {second / 10, noLimit}, {second, noLimit}}, false, 0},
		"answers without, too short":  {[]answer{{0, 5}, {second / 10, noLimit}, {second / 2, noLimit}}, true, 5},
		"named again meanwhile":       {[]answer{{0, 5}, {second / 10, noLimit}, {second / 2, 5}, {second, noLimit}}, true, 5},
		"changed":                     {[]answer{{0, 5}, {second, 2}}, true, 2},
		"never named":                 {[]answer{{0, noLimit}, {second, noLimit}}, false, 0},
		"lifted and named again":      {[]answer{{0, 5}, {0, noLimit}, {second, noLimit}, {second, 7}}, true, 7},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newRateSimulation(4, noLimit, 10*time.Millisecond)
			for _, a := range tc.answers {
				s.now = s.now.Add(a.after)
				s.step(CallLimit{PerSecond: a.limit})
			}
			c.Check(s.core.rate.limited, qt.Equals, tc.want)
			c.Check(s.core.rate.perSecond, qt.Equals, tc.rate)
		})
	}
}

// Under a limit of 0 calls are refused at once, with the time after which the limit is checked;
// another instance starts without a limit.
func TestCoreCallLimitZero(t *testing.T) {
	c := qt.New(t)
	s := newRateSimulation(4, noLimit, 10*time.Millisecond)
	s.step(CallLimit{})
	for i, e := range []Arrive{{Objective: time.Second, Timeout: 3 * time.Second}, {Objective: time.Second, Final: true}, {}} {
		e.Call = uint64(i + 1)
		actions := s.core.Step(s.now, e)
		c.Assert(actions, qt.HasLen, 1)
		r, ok := actions[0].(Refuse)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", actions[0]))
		c.Check(r.RetryAfter, qt.Equals, limitCheckAge)
	}
	c.Check(s.core.rate.needsCheck(s.now), qt.IsFalse)
	c.Check(s.core.rate.needsCheck(s.now.Add(limitCheckAge)), qt.IsTrue)
	s.step(CallLimit{PerSecond: noLimit, NewInstance: true})
	s.arrive(0)
	c.Check(s.admitted, qt.HasLen, 1)
}

// While calls wait for the limit, a more urgent one that arrives later goes first, a call that
// would miss its objective is refused at once with its wait, and the load tells the wait.
func TestCoreCallLimitOrder(t *testing.T) {
	c := qt.New(t)
	s := newRateSimulation(12, 4, 10*time.Millisecond)
	s.step(CallLimit{PerSecond: 4})
	s.arrive(2)
	s.arrive(2)
	s.arrive(1)
	c.Check(s.admitted, qt.HasLen, 0)
	c.Check(s.core.Load(s.now).Free <= -3, qt.IsTrue)
	c.Check(s.core.LoadFor(s.now, "r", 2).Backlog >= 1000, qt.IsTrue, qt.Commentf("%+v", s.core.LoadFor(s.now, "r", 2)))
	actions := s.core.Step(s.now, Arrive{Call: 9, Route: "r", Priority: 2, Timeout: 3 * time.Second, Objective: 600 * time.Millisecond})
	refuse, ok := actions[0].(Refuse)
	c.Assert(ok, qt.IsTrue)
	c.Check(refuse.Reason, qt.Equals, wire.ReasonQueueFull)
	c.Check(refuse.RetryAfter >= time.Second, qt.IsTrue, qt.Commentf("%s", refuse.RetryAfter))
	s.advance(260 * time.Millisecond)
	c.Assert(s.admitted, qt.HasLen, 1)
	c.Check(s.core.queue.byRank[1], qt.HasLen, 0, qt.Commentf("the payment went first"))
}

// A limit beyond all that a backend server can run must not keep calls out.
func TestCoreCallLimitHuge(t *testing.T) {
	for _, limit := range []float64{1e6, 1e18, 1e300, math.MaxFloat64} {
		c := qt.New(t)
		s := newRateSimulation(4, limit, 10*time.Millisecond)
		s.step(CallLimit{PerSecond: limit})
		s.advance(time.Second)
		c.Check(s.core.Load(s.now).Free, qt.Equals, int16(4), qt.Commentf("limit %v", limit))
		s.arrive(0)
		c.Check(s.admitted, qt.HasLen, 1)
	}
}
