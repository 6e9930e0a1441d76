package dispatch

import "time"

// Parent is the call that a backend server is running when it makes a call of its own.
type Parent struct {
	TraceID    string
	Depth      uint8           // number of calls above it in the chain
	RetryLayer bool            // this call or one above it in the chain may be retried
	Deadline   time.Time       // zero for none
	Done       <-chan struct{} // closed when the parent is cancelled; nil for never
}
