package booking

import "time"

// Parent describes the call that a backend server was running when it made another call.
type Parent struct {
	Deadline   time.Time
	Depth      uint8
	RetryLayer bool
	TraceID    string
	Cancelled  <-chan struct{} // closed when that call is cancelled, not when it is answered
}
