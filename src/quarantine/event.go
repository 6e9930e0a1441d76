package quarantine

import "time"

// Event is an input of Core.
type Event interface{ isEvent() }

// Crashed reports that the backend server beside this daemon has crashed.
type Crashed struct {
	ID       uint64 // drawn at random
	Instance string
	Contents []uint64 // of the requests that it ran
}

// Answered reports that a backend server has answered a request completely, other than with a
// failure of its own.
type Answered struct {
	Content uint64
	Took    time.Duration
}

// Released reports that an operator lifts the quarantine of a request.
type Released struct{ Content uint64 }

// Received reports what a peer knows.
type Received struct {
	Crashes []Crash
	Probes  []Probe
}

// ProbeClaimed reports that a probe has been claimed.
type ProbeClaimed struct {
	Probe
	Own bool // by this daemon
}

// ProbeFailed reports that a probe could not be claimed because the store did not answer.
type ProbeFailed struct{ Content uint64 }

func (Crashed) isEvent()      {}
func (Answered) isEvent()     {}
func (Released) isEvent()     {}
func (Received) isEvent()     {}
func (ProbeClaimed) isEvent() {}
func (ProbeFailed) isEvent()  {}
