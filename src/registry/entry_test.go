package registry

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// An entry must be readable by agents of a build that does not know the details, and the other way
// round; otherwise the members of one build would be missing at the other during an upgrade.
func TestMemberEntryAcrossBuilds(t *testing.T) {
	c := qt.New(t)
	m := wire.Member{ID: 7, Addr: netip.MustParseAddrPort("10.1.0.2:8123"), Service: "bookings", Version: "v2"}
	value, err := encodeMember(m)
	c.Assert(err, qt.IsNil)
	got, err := decodeMember(value)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, m)

	var older wire.Member
	_, err = older.UnmarshalMsg(value)
	c.Assert(err, qt.IsNil)
	c.Check(older.ID, qt.Equals, m.ID)

	m.Version = ""
	value, err = m.MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	got, err = decodeMember(value)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, m)
}
