package standin

import "time"

// Faults are the ways in which the store stand-in misbehaves; the zero value behaves well.
type Faults struct {
	Down        bool          `json:"down"`         // every call is refused and not carried out
	Slow        time.Duration `json:"slow"`         // added before each call, in nanoseconds
	LoseAnswers float64       `json:"lose_answers"` // share of the writes that take effect but whose answer is lost
	StaleReads  float64       `json:"stale_reads"`  // share of the gets that return the entry before the newest
	SilentWatch bool          `json:"silent_watch"` // watches never answer
	Reorder     bool          `json:"reorder"`      // answers are held back for a random time, so that they cross
	LapseLeases bool          `json:"lapse_leases"` // every lease counts as lapsed
	Seed        uint64        `json:"seed"`         // of the random choices
}

// maxReorderDelay bounds the time for which Faults.Reorder holds back an answer.
const maxReorderDelay = 20 * time.Millisecond
