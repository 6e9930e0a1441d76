package roster

import (
	"cmp"
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// View is an immutable snapshot of the roster. Views of Core.View with equal digests may differ in suspicions and in the
// lost members that they hold.
type View struct {
	Digest    uint64                   // passed to NewView; in a view of Core.View it covers only the members that are not dead
	Members   []wire.Member            // not dead, by ascending ID
	ByService map[string][]wire.Member // the same members, by service
	byID      map[uint64]int
}

// NewView returns a view of members. It sorts the slice and keeps it; the caller must not use it afterwards.
func NewView(digest uint64, members []wire.Member) *View {
	slices.SortFunc(members, func(a, b wire.Member) int { return cmp.Compare(a.ID, b.ID) })
	v := &View{Digest: digest, Members: members, ByService: map[string][]wire.Member{}, byID: make(map[uint64]int, len(members))}
	for i, m := range members {
		v.ByService[m.Service] = append(v.ByService[m.Service], m)
		v.byID[m.ID] = i
	}
	return v
}

// Member returns the member with an ID and reports whether it is in the view.
func (v *View) Member(id uint64) (wire.Member, bool) {
	i, ok := v.byID[id]
	if !ok {
		return wire.Member{}, false
	}
	return v.Members[i], true
}
