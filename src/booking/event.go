package booking

import "time"

// Event is something that the Core decides on.
type Event interface{ isEvent() }

// Arrive is a call that asks for a slot.
type Arrive struct {
	Call      uint64        `json:"call"`
	Route     string        `json:"route"`
	Priority  uint8         `json:"priority"`               // 0 is served first
	Timeout   time.Duration `json:"timeout_ns"`             // time left, 0 for no deadline
	Objective time.Duration `json:"objective_ns,omitempty"` // time left in which the answer is in time, negative when it is over, 0 for no objective
	Patience  time.Duration `json:"patience_ns,omitempty"`  // longest expected wait with which the call is taken, since another server may be sooner, 0 for no bound
	Final     bool          `json:"final,omitempty"`        // no other server is expected to be sooner: the call is taken though its answer will be late
}

// Abandon is a queued call that its caller has given up.
type Abandon struct {
	Call uint64 `json:"call"`
}

// Release is an admitted call that no longer holds its slot.
type Release struct {
	Call   uint64        `json:"call"`
	Result Result        `json:"result"`
	Took   time.Duration `json:"took_ns"` // time that the backend server ran it
}

// Tick is the passing of time.
type Tick struct{}

// Configure sets the limits of the document in force.
type Configure struct {
	Queue     int           `json:"queue"`           // calls that wait for a slot
	QueueWait time.Duration `json:"queue_wait_ns"`   // longest wait for a slot
	Slots     int           `json:"slots,omitempty"` // requests that the backend server runs at once, 0 for no change
}

// Drain makes the Core refuse new calls after a grace.
type Drain struct {
	Grace time.Duration `json:"grace_ns"`
}

// Health is what the backend server's health endpoint, checked against calls, says of it.
type Health struct {
	State HealthState `json:"state"`
}

// Resume ends a drain.
type Resume struct{}

func (Arrive) isEvent()    {}
func (Abandon) isEvent()   {}
func (Release) isEvent()   {}
func (Tick) isEvent()      {}
func (Configure) isEvent() {}
func (Drain) isEvent()     {}
func (Health) isEvent()    {}
func (Resume) isEvent()    {}
