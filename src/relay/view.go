package relay

import (
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/wire"
)

// membersOf converts a view into the members for the core, this daemon included.
func membersOf(v *roster.View, self wire.Member) []Member {
	var members []Member
	listed := false
	if v != nil {
		for _, m := range v.Members {
			listed = listed || m.ID == self.ID
			members = append(members, Member{ID: m.ID, Domain: m.Domain, Leaving: m.State == wire.StateLeaving})
		}
	}
	if !listed {
		members = append(members, Member{ID: self.ID, Domain: self.Domain, Leaving: self.State == wire.StateLeaving})
	}
	return members
}
