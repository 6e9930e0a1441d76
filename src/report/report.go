package report

import "time"

// Report is what the logs of a mesh's agents tell of a span of time.
type Report struct {
	Lines   int       `json:"lines"`
	Skipped int       `json:"skipped_lines"` // broken ones, and those of other programs
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Routes  []Route   `json:"routes"`  // by name
	Bounds  []Bound   `json:"bounds"`  // by service
	Servers []Server  `json:"servers"` // by agent
	Account Account   `json:"account"`
	Cuts    []Cut     `json:"cuts"`    // the most frequent first
	Windows []Window  `json:"windows"` // the worst first
}

// Counts counts the calls of a route as its callers saw them.
type Counts struct {
	Asked       int            `json:"asked"`
	InObjective int            `json:"in_objective"`
	Late        int            `json:"late"`
	Failed      int            `json:"failed"` // answers of 500 and above
	Refused     map[string]int `json:"refused"`
	Gone        int            `json:"gone"` // whose caller left, or the call within which they were made ended
	Attempts    int            `json:"attempts"`
}

// Route is what became of the calls of a route, and the waits for a slot, in milliseconds, that the
// callers' agents expected and that came.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Counts
	Possible       int     `json:"possible"` // at most, had it alone been served; see Bound
	ExpectedWaitMS float64 `json:"expected_wait_ms"`
	WaitMS         float64 `json:"wait_ms"`
}

// Server is the use of the slots of a backend server, in slot-seconds.
type Server struct {
	Agent       string  `json:"agent"`
	Service     string  `json:"service"`
	Slots       int     `json:"slots"`
	Answers     float64 `json:"answers"`
	InVain      float64 `json:"in_vain"`      // runs that ended with a status of 500 or above
	Unanswered  float64 `json:"unanswered"`   // runs that ended without an answer
	IdleRefused float64 `json:"idle_refused"` // idle in windows in which calls of the service were refused for want of a slot
	Refusals    int     `json:"refusals"`     // for want of a slot
}

// Window is a span of time with what its callers lost.
type Window struct {
	From   time.Time     `json:"from"`
	Length time.Duration `json:"length_ns"`
	Asked  int           `json:"asked"`
	Lost   int           `json:"lost"`
	Late   int           `json:"late"`
	Causes []Cause       `json:"causes"` // at most maxCauses, the largest first
	Idle   float64       `json:"idle"`   // mean idle slots of services whose calls were refused for want of a slot
}

// Cause is one reason for which calls of a route were lost.
type Cause struct {
	Route  string `json:"route"`
	Reason string `json:"reason"`
	Calls  int    `json:"calls"`
}
