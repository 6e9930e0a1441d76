package roster

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// entry is what a Core holds of one other member, dead or not.
type entry struct {
	m         wire.Member
	reason    Reason
	changedAt time.Time // of its state
	heardAt   time.Time // last datagram of its own
	checkedAt time.Time // last time a claim of its death was put to it
	deadline  time.Time // after which it is declared dead; zero when it is not suspected
}

func (e *entry) dead() bool { return e.m.State == wire.StateDead }

// lost tells whether the member died without leaving and nobody runs at its address.
func (e *entry) lost() bool {
	return e.dead() && e.m.Addr.IsValid() && e.reason != ReasonReplaced && e.m.Incarnation != leftIncarnation
}
