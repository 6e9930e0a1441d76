package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// inEra returns an item of member n, or of the successor with the given ID at its address, at a
// revision of an era.
func inEra(m wire.Member, era, number uint64) Item { return itemOf(m, JoinRevision(era, number)) }

// After the store came back from an older copy, a lower revision of the new era goes before a
// higher one of the era before, and late answers of that era change nothing.
func TestCoreEras(t *testing.T) {
	successor := member(2)
	successor.ID = 22
	listed := func(era, number uint64, items ...Item) Listed {
		return Listed{Items: items, Revision: JoinRevision(era, number)}
	}
	first := listed(1, 90, inEra(member(1), 1, 70), inEra(member(2), 1, 80), inEra(member(3), 1, 90))
	second := listed(2, 40, inEra(member(1), 2, 10), inEra(successor, 2, 40))
	runCoreTests(t, map[string]coreTest{
		"older copy":             {[]Event{first, second}, []string{"PublishMembers", "ProbeMember"}, []uint64{1, 22, 3}},
		"change after it":        {[]Event{first, listed(2, 40, inEra(member(1), 2, 10), inEra(member(2), 2, 20), inEra(member(3), 2, 30)), Changed{Items: []Item{inEra(successor, 2, 41)}, Revision: JoinRevision(2, 41)}}, []string{"PublishMembers"}, []uint64{1, 22, 3}},
		"late list before it":    {[]Event{first, second, MemberProbed{3, true}, listed(1, 95, inEra(member(2), 1, 95))}, []string{}, []uint64{1, 22, 3}},
		"late change before it":  {[]Event{first, second, MemberProbed{3, true}, Changed{Items: []Item{inEra(member(2), 1, 95)}, Revision: JoinRevision(1, 95)}}, []string{}, []uint64{1, 22, 3}},
		"own entry not in it":    {[]Event{first, listed(2, 40, inEra(member(2), 2, 20), inEra(member(3), 2, 30))}, []string{"Announce"}, []uint64{1, 2, 3}},
		"reader that is behind":  {[]Event{first, second, MemberProbed{3, true}, PeerReplied{Authoritative: true, Reply: wire.RegistryReply{Revision: JoinRevision(1, 95), Members: []wire.RegistryEntry{{Key: testKeys.memberKey(addr(2)), Revision: JoinRevision(1, 95), Deleted: true}}}}}, []string{}, []uint64{1, 22, 3}},
		"reader that is further": {[]Event{first, PeerReplied{Authoritative: true, Reply: wire.RegistryReply{Revision: JoinRevision(2, 40), Members: []wire.RegistryEntry{{Key: testKeys.memberKey(addr(2)), Revision: JoinRevision(2, 40), Member: successor}}}}}, []string{"PublishMembers"}, []uint64{1, 22, 3}},
	})
}

// A copy that is older than a member's leave must not bring the member back; a later start of its
// backend server, or another agent at its address, must.
func TestCoreLeaveOlderCopyLacks(t *testing.T) {
	leaving := member(2)
	leaving.State, leaving.StartedAt = wire.StateLeaving, 500
	before := member(2)
	before.StartedAt = 500
	resumed := member(2)
	resumed.StartedAt = 600
	successor := before
	successor.ID = 22
	tests := map[string]struct {
		copied wire.Member
		era    uint64
		want   wire.Member
	}{
		"before its leave":                {before, 2, leaving},
		"its leave":                       {leaving, 2, leaving},
		"later start":                     {resumed, 2, resumed},
		"another agent":                   {successor, 2, successor},
		"ready again within the same era": {before, 1, before},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCore()
			c.Step(startTime, Listed{Items: []Item{inEra(member(1), 1, 1), inEra(leaving, 1, 2)}, Revision: JoinRevision(1, 2)})
			c.Step(startTime.Add(time.Second), Listed{Items: []Item{inEra(member(1), tc.era, 3), inEra(tc.copied, tc.era, 3)}, Revision: JoinRevision(tc.era, 3)})
			qt.Assert(t, c.Members()[1], qt.Equals, tc.want)
		})
	}
}

func TestRevision(t *testing.T) {
	for _, era := range []uint64{0, 1, 7, MaxEra} {
		for _, number := range []uint64{0, 1, 1<<48 - 1} {
			gotEra, gotNumber := SplitRevision(JoinRevision(era, number))
			qt.Check(t, gotEra, qt.Equals, era)
			qt.Check(t, gotNumber, qt.Equals, number)
		}
	}
	qt.Check(t, JoinRevision(2, 1) > JoinRevision(1, 1<<48-1), qt.IsTrue)
}

// An agent of a build without eras asks with the store's own numbers. It is sent to the store,
// since it would take revisions with an era for numbers.
func TestCoreReplyWithoutEras(t *testing.T) {
	tests := map[string]struct {
		era   uint64 // of the store
		after uint64
		lost  bool
	}{
		"same era":             {2, JoinRevision(2, 80), false},
		"earlier era":          {2, JoinRevision(1, 90), false},
		"no era":               {2, 80, true},
		"all":                  {2, 0, false},
		"store without an era": {0, 80, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCore()
			c.Step(startTime, Listed{Items: []Item{inEra(member(1), tc.era, 90)}, Revision: JoinRevision(tc.era, 90)})
			qt.Check(t, c.Reply(wire.RegistryRequest{After: tc.after}).Lost, qt.Equals, tc.lost)
		})
	}
}

// A new agent knows what the store may have lost only once the peers that it asked have answered:
// neither a reader's reply to its watch nor one of two answers will do.
func TestCoreStartQuery(t *testing.T) {
	tombstones := wire.RegistryReply{Tombstones: []wire.RegistryTombstone{{Instance: "i-1", LatestStartMS: 1700, Revision: 5}}}
	answered := func(r wire.RegistryReply) []Event { return []Event{PeerReplied{Reply: r}, StartQueryEnded{}} }
	tests := map[string]struct {
		events []Event
		after  time.Duration
		known  bool
		want   time.Time
	}{
		"not answered":                 {nil, 0, false, time.Time{}},
		"reply of a reader":            {[]Event{PeerReplied{Authoritative: true}}, 0, false, time.Time{}},
		"one of two":                   {answered(wire.RegistryReply{}), 0, false, time.Time{}},
		"both, the second knows it":    {append(answered(wire.RegistryReply{}), answered(tombstones)...), 0, true, time.UnixMilli(1700)},
		"one, and one failed":          {append(answered(tombstones), StartQueryEnded{}), 0, true, time.UnixMilli(1700)},
		"both failed":                  {[]Event{StartQueryEnded{}, StartQueryEnded{}}, 0, true, time.Time{}},
		"no answer for startQueryTime": {nil, startQueryTime, true, time.Time{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCore()
			c.Step(startTime, Listed{Items: []Item{itemOf(member(1), 0), itemOf(member(2), 0), itemOf(member(3), 0)}})
			for _, e := range tc.events {
				c.Step(startTime, e)
			}
			latestStart, known := c.Tombstone(startTime.Add(tc.after), "i-1")
			qt.Check(t, known, qt.Equals, tc.known)
			if known {
				qt.Check(t, latestStart, qt.Equals, tc.want)
			}
		})
	}
}
