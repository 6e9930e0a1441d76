package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	thinLink     = 11.2e6 / 8 // bytes per second
	downloadSize = 90_000     // bytes
)

// downloadCore returns a core beside a backend server with 4 slots on a thin link, whose downloads take 69 ms and whose short reads take 22 ms.
func downloadCore() *Core {
	c := fixedLimitCore(4, map[string]time.Duration{"read": 22 * time.Millisecond})
	c.LinkRate = thinLink
	c.serviceTimes.add(epoch, "download", 69*time.Millisecond, downloadSize)
	return c
}

// linkSimulation runs the calls that a core admits, and sends the answers of downloads one after the other over the link.
type linkSimulation struct {
	core    *Core
	now     time.Time
	ends    map[uint64]time.Time // end of the service time by call
	routes  map[uint64]string
	late    map[uint64]time.Time // objective by call
	unsent  []uint64             // downloads that wait for the link, the first one being sent
	sentOf  float64              // bytes of the first one
	inTime  map[string]int
	tooLate map[string]int
	refused map[string]int
}

func (s *linkSimulation) arrive(call uint64, e Arrive) {
	e.Call = call
	e.LinkDelay = time.Duration((float64(len(s.unsent)*downloadSize) - s.sentOf) / thinLink * float64(time.Second))
	e.LinkDelayIfLate = e.LinkDelay
	s.routes[call], s.late[call] = e.Route, s.now.Add(e.Objective)
	s.perform(s.core.Step(s.now, e))
}

func (s *linkSimulation) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Admit:
			took := 22 * time.Millisecond
			if s.routes[a.Call] == "download" {
				took = 69 * time.Millisecond
			}
			s.ends[a.Call] = s.now.Add(took)
		case Refuse:
			s.refused[s.routes[a.Call]]++
		}
	}
}

// step advances the time by a millisecond.
func (s *linkSimulation) step() {
	s.now = s.now.Add(time.Millisecond)
	for call, end := range s.ends {
		if s.now.Before(end) {
			continue
		}
		delete(s.ends, call)
		r := Release{Call: call, Took: 22 * time.Millisecond}
		if s.routes[call] == "download" {
			r.Took, r.AnswerSize = 69*time.Millisecond, downloadSize
			s.unsent = append(s.unsent, call)
		} else {
			s.answered(call)
		}
		s.perform(s.core.Step(s.now, r))
	}
	if len(s.unsent) > 0 {
		if s.sentOf += thinLink / 1000; s.sentOf >= downloadSize {
			s.answered(s.unsent[0])
			s.unsent, s.sentOf = s.unsent[1:], s.sentOf-downloadSize
		}
	}
	s.perform(s.core.Step(s.now, Tick{}))
}

func (s *linkSimulation) answered(call uint64) {
	if s.now.After(s.late[call]) {
		s.tooLate[s.routes[call]]++
		return
	}
	s.inTime[s.routes[call]]++
}

// Crowd of downloads beyond the link's width: with twice the downloads that a thin link carries, those that it cannot carry in time are refused before they run,
// those that it can are answered in time, and the short reads beside them are all in time.
func TestCoreDownloadsBeyondLink(t *testing.T) {
	const (
		seconds   = 10
		linkRate  = thinLink / downloadSize // downloads per second
		downloads = 2 * linkRate
		reads     = 60 // per second
	)
	c := qt.New(t)
	s := &linkSimulation{core: downloadCore(), now: epoch, ends: map[uint64]time.Time{}, routes: map[uint64]string{}, late: map[uint64]time.Time{},
		inTime: map[string]int{}, tooLate: map[string]int{}, refused: map[string]int{}}
	call, sentDownloads, sentReads := uint64(0), 0, 0
	for ms := range seconds * 1000 {
		for float64(sentDownloads) < downloads*float64(ms)/1000 {
			call++
			sentDownloads++
			s.arrive(call, Arrive{Route: "download", Priority: 2, Remote: true, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond})
		}
		for float64(sentReads) < reads*float64(ms)/1000 {
			call++
			sentReads++
			s.arrive(call, Arrive{Route: "read", Priority: 1, Remote: true, Timeout: 250 * time.Millisecond, Objective: 80 * time.Millisecond})
		}
		s.step()
	}
	c.Check(s.tooLate, qt.HasLen, 0, qt.Commentf("%+v", s.tooLate))
	c.Check(s.refused["read"], qt.Equals, 0)
	c.Check(float64(s.inTime["download"]) >= 0.9*seconds*linkRate, qt.IsTrue, qt.Commentf("%d of %.0f", s.inTime["download"], seconds*linkRate))
	c.Check(s.refused["download"] > 0, qt.IsTrue)
}

// The link counts for the calls of other VMs with long answers only.
func TestCoreLinkWait(t *testing.T) {
	const ms = time.Millisecond
	download := Arrive{Call: 1, Route: "download", Priority: 2, Remote: true, Timeout: 2 * time.Second, Objective: 500 * ms, LinkDelay: 450 * ms, LinkDelayIfLate: 450 * ms}
	with := func(f func(*Arrive)) Arrive {
		e := download
		f(&e)
		return e
	}
	tests := map[string]struct {
		call    Arrive
		admit   bool
		waiting int // downloads that run already
	}{
		"busy link":                         {call: download},
		"free link":                         {call: with(func(e *Arrive) { e.LinkDelay, e.LinkDelayIfLate = 0, 0 }), admit: true},
		"only late answers wait":            {call: with(func(e *Arrive) { e.LinkDelay = 0 }), admit: true},
		"caller on this VM":                 {call: with(func(e *Arrive) { e.Remote = false }), admit: true},
		"short answer":                      {call: with(func(e *Arrive) { e.Route = "read" }), admit: true},
		"final call, late but answered":     {call: with(func(e *Arrive) { e.Final = true }), admit: true},
		"final call, too late":              {call: with(func(e *Arrive) { e.Final, e.Timeout = true, 600*ms }), admit: false},
		"patience shorter than the wait":    {call: with(func(e *Arrive) { e.LinkDelay, e.Patience = 200*ms, 100*ms }), admit: false},
		"answers of running calls: in time": {call: with(func(e *Arrive) { e.LinkDelay, e.LinkDelayIfLate = 200*ms, 200*ms }), admit: true, waiting: 3},
		"answers of running calls: late":    {call: with(func(e *Arrive) { e.LinkDelay, e.LinkDelayIfLate = 250*ms, 250*ms }), admit: false, waiting: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := downloadCore()
			for i := range tc.waiting {
				c.Step(epoch, Arrive{Call: uint64(100 + i), Route: "download", Priority: 2, Remote: true, Timeout: 2 * time.Second, Objective: 500 * ms})
			}
			_, refused := c.WouldRefuse(epoch, tc.call)
			got := c.Step(epoch, tc.call)
			qt.Assert(t, len(admitted(got)) == 1, qt.Equals, tc.admit, qt.Commentf("%+v", got))
			qt.Assert(t, refused, qt.Equals, !tc.admit)
		})
	}
}
