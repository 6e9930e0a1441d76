package registry

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// entry is a member as last read from the store or a peer.
type entry struct {
	member          wire.Member
	revision        uint64
	deletedRevision uint64    // revision at which the entry was missing from the store, 0 if it is present
	missingSince    time.Time // when the entry was found missing in the store, zero if it is present
	probedAt        time.Time // when the last probe started
	probing         bool      // a probe is in flight
}
