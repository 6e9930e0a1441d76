package roster

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// entry is the record of one other member, dead or not.
type entry struct {
	m                 wire.Member
	reason            Reason // for the last update applied
	stateChangedAt    time.Time
	receivedAt        time.Time // last datagram from the member itself
	verifyStartedAt   time.Time // last time the verification of a reported death began
	suspicionDeadline time.Time // when the member is declared dead; zero without a suspicion
}

func (e *entry) dead() bool { return e.m.State == wire.StateDead }

// lost reports whether the member is dead, did not announce its own death, has a known address and was not replaced by
// another member at it. A leaving member whose suspicion timed out is lost, too.
func (e *entry) lost() bool {
	return e.dead() && e.m.Addr.IsValid() && e.reason != ReasonReplaced && e.m.Incarnation != finalIncarnation
}
