package booking

import "time"

// Parent describes the call that a backend server was running when it made another call.
type Parent struct {
	Deadline   time.Time       // zero for none
	Depth      uint8           // number of calls above it in the chain
	RetryLayer bool            // it or a call above it in the chain may be sent again after it may have run
	TraceID    string          // request ID of the chain
	Cancelled  <-chan struct{} // closed when that call is cancelled, not when it is answered
}
