package registry

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const entryBytes = 512 // of an entry in a listing, at most

// entry is a member as last read from the store or a peer.
type entry struct {
	member          wire.Member
	revision        uint64
	deletedRevision uint64    // revision at which the entry was missing from the store, 0 if it is present
	missingSince    time.Time // when the entry was found missing in the store, zero if it is present
	probedAt        time.Time // when the last probe started
	probing         bool      // a probe is in flight
	announcedAt     time.Time // when the member itself told it, zero if it is from the store; revision is then that of the entry before
}

const maxNameBytes = 256 // of each name in an entry

// isUsable reports whether a member could have been written by an agent. Another writer may have left
// an entry that decodes but names no server, or whose size would fill the replies to others.
func isUsable(m wire.Member) bool {
	for _, name := range []string{m.Service, m.Domain, m.Region, m.Version} {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return m.ID != 0 && m.Addr.IsValid() && m.Addr.Port() != 0 && m.State <= wire.StateDead
}

// encodeMember returns the value of a member's entry in the store.
func encodeMember(m wire.Member) ([]byte, error) {
	value, err := m.MarshalMsg(nil)
	if err != nil || m.Version == "" {
		return value, err
	}
	details := wire.MemberDetails{Version: m.Version}
	return details.MarshalMsg(value)
}

// decodeMember decodes the value of a member's entry; builds without wire.MemberDetails write the
// member alone.
func decodeMember(value []byte) (wire.Member, error) {
	var m wire.Member
	rest, err := m.UnmarshalMsg(value)
	if err != nil || len(rest) == 0 {
		return m, err
	}
	var details wire.MemberDetails
	if _, err := details.UnmarshalMsg(rest); err == nil {
		m.Version = details.Version
	}
	return m, nil
}
