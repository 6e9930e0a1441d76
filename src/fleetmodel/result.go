package fleetmodel

// Result counts the requests of one route by how they ended, and the attempts made for them.
type Result struct {
	Asked       int
	InTime      int // answered within the objective
	Late        int // answered after it
	Refused     int // not run
	Failed      int // answered with an error, because an inner call failed
	Held        int // refused after more than half of the time until their deadline
	Waited      int // refused after an attempt of them had waited in a queue
	Attempts    int // sent to servers
	Runs        int
	Crossed     int // attempts sent to another failure domain
	CrossBytes  int // of their messages
	Quarantined int // refused because servers had crashed while they ran the same request
}

// InTimeShare returns the share of the requests that were answered within their objective.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Asked)) }
