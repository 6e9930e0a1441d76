package booking

import "time"

// Event is an input of the Core.
type Event interface{ isEvent() }

// Arrive reports that a call requests a slot.
type Arrive struct {
	Call            uint64        `json:"call"`
	Route           string        `json:"route"`
	Priority        uint8         `json:"priority"`                        // 0 is served first
	Timeout         time.Duration `json:"timeout_ns"`                      // time until the deadline, 0 for no deadline
	Objective       time.Duration `json:"objective_ns,omitempty"`          // time left to meet the latency objective, negative if it has been missed, 0 for no objective
	Patience        time.Duration `json:"patience_ns,omitempty"`           // longest expected wait of a call with an objective; if it is exceeded, the call is refused, since another server may answer sooner; 0 for no bound
	Remote          bool          `json:"remote,omitempty"`                // the answer leaves this VM over its network connection
	LinkDelay       time.Duration `json:"link_delay_ns,omitempty"`         // time that the network connection needs for the answers in time that wait to be sent
	LinkDelayIfLate time.Duration `json:"link_delay_if_late_ns,omitempty"` // the same for all answers that wait
	Attempt         int           `json:"attempt,omitempty"`               // number of the call's attempt, from 1; 0 if unknown
	Waited          time.Duration `json:"waited_ns,omitempty"`             // time since the call arrived, for its body; a drain that has begun meanwhile does not refuse it
	Final           bool          `json:"final,omitempty"`                 // no other server is expected to answer sooner, so a call that is expected to miss its objective is still queued if its answer is expected within maxLateShare of the time left
}

// Abandon reports that a queued call has been cancelled.
type Abandon struct {
	Call uint64 `json:"call"`
}

// Release reports that an admitted call no longer holds its slot.
type Release struct {
	Call       uint64        `json:"call"`
	Result     Result        `json:"result"`
	Took       time.Duration `json:"took_ns"`               // time from admission to release; the service time, if the call was answered
	AnswerSize int64         `json:"answer_size,omitempty"` // of a successful answer in bytes, 0 if unknown
}

// Tick reports that time has passed.
type Tick struct{}

// Configure sets the queue limits from the current document and, unless Slots is 0, the slots reported by the backend server.
type Configure struct {
	Queue     int           `json:"queue"`           // most calls that may wait for a slot
	QueueWait time.Duration `json:"queue_wait_ns"`   // longest wait for a slot
	Slots     int           `json:"slots,omitempty"` // most requests that the backend server runs concurrently, 0 for no change
}

// Drain makes the Core refuse new calls after a grace period.
type Drain struct {
	Grace time.Duration `json:"grace_ns"`
}

// Leave makes the Core refuse new calls, and those queued calls that are not expected to reach the
// backend server in time: it may end afterwards.
type Leave struct {
	Within time.Duration `json:"within_ns"`
}

// Health reports the state of the backend server, derived from its health reports and from the outcome of calls.
type Health struct {
	State HealthState `json:"state"`
}

// CallLimit reports what an answer of the backend server says of the calls that it takes.
type CallLimit struct {
	PerSecond   float64 `json:"per_second"`             // negative if the answer names no limit
	NewInstance bool    `json:"new_instance,omitempty"` // another instance, which has named no limit yet
}

// Speed reports how long work takes on the backend server's VM now, as its load header states.
type Speed struct {
	Percent int `json:"percent"` // 100 as usual
}

// Sent reports that the request of an admitted call has been sent completely.
type Sent struct {
	Call uint64 `json:"call"`
}

// Reported reports how many requests the backend server runs, or has queued, as it states with the
// answer to a call.
type Reported struct {
	Answered uint64 `json:"answered"`
	Running  int    `json:"running"`
}

// Resume ends a drain started by Drain.
type Resume struct{}

func (Arrive) isEvent()    {}
func (Abandon) isEvent()   {}
func (Release) isEvent()   {}
func (Tick) isEvent()      {}
func (Configure) isEvent() {}
func (Drain) isEvent()     {}
func (Leave) isEvent()     {}
func (Health) isEvent()    {}
func (CallLimit) isEvent() {}
func (Speed) isEvent()     {}
func (Sent) isEvent()      {}
func (Reported) isEvent()  {}
func (Resume) isEvent()    {}
