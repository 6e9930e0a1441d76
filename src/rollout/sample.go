package rollout

import "time"

// Sample is the run of one call at a backend server.
type Sample struct {
	Route    string
	Outcome  Outcome
	Duration time.Duration // from the start of the run
	Load     float64       // share of the server's slots in use when the run started, the call included
	Cold     bool          // the server was in its cold start when the run started
}
