package booking

import "time"

// Parent is the call that a backend server was running when it made another call.
type Parent struct {
	Deadline   time.Time
	Depth      uint8
	RetryLayer bool
	TraceID    string
	Done       <-chan struct{} // closed when that call is given up, not when it is answered
}
