package dispatch

import "time"

// Parent is the call that a backend server is running when it makes a call of its own.
type Parent struct {
	TraceID          string
	Depth            uint8           // number of earlier calls in the chain
	MayRetryAfterRun bool            // this call, or an earlier one in the chain, may be sent again after it may have run; daemons later in the chain then retry only calls that have not run
	Deadline         time.Time       // zero for none
	Done             <-chan struct{} // closed when the parent is cancelled; nil for never
}
