package booking

import (
	"fmt"
	"runtime/debug"

	"github.com/yuccaport/yuccaport/src/wire"
)

// recoverPanic ends a run that has panicked: its slot would stay in use for good, and its caller wait.
func (x *exchange) recoverPanic() {
	r := recover()
	if r == nil {
		return
	}
	x.s.Log.Error(fmt.Errorf("panic: %v", r), "run ended by a panic", "request_id", x.head.TraceID, "stack", string(debug.Stack()))
	if x.conn != nil && !x.released {
		x.s.pool.drop(x.conn)
	}
	x.release(ResultFailed)
	x.refuse(wire.Refusal{Reason: wire.ReasonCut, MayHaveRun: true})
}
