package registry

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// entry is a member as the store or a peer has told it.
type entry struct {
	member   wire.Member
	revision uint64
	deleted  uint64    // revision that removed the entry from the store, 0 while it is there
	lapsed   time.Time // when the store no longer had it, zero while it has
	asked    time.Time // when the member was last asked whether it lives
	waiting  bool      // for the answer
}
