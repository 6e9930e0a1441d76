package registry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

var (
	startTime = time.Unix(1000, 0)
	testKeys  = Keys{WatchPrefix: "mesh/", Config: "mesh/config", MemberPrefix: "mesh/member/", TombstonePrefix: "mesh/left/"}
)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func member(n int) wire.Member {
	return wire.Member{ID: uint64(n), Addr: addr(n), Service: "bookings", Ready: true}
}

func itemOf(m wire.Member, revision uint64) Item {
	b, _ := m.MarshalMsg(nil) // to memory, cannot fail
	return Item{Key: testKeys.memberKey(m.Addr), Value: b, Revision: revision}
}

func newCore() *Core {
	return &Core{Keys: testKeys, EntryKey: testKeys.memberKey(addr(1)), ID: 1, Rand: rand.New(rand.NewPCG(1, 1))}
}

func typeNames(actions []Action) []string {
	out := []string{}
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%T", a)[len("registry."):])
	}
	return out
}

func memberIDs(c *Core) []uint64 {
	out := []uint64{}
	for _, m := range c.Members() {
		out = append(out, m.ID)
	}
	return out
}

// coreTest is a sequence of events with the members after it.
type coreTest struct {
	events  []Event
	want    []string // actions of the last event
	members []uint64
}

func runCoreTests(t *testing.T, tests map[string]coreTest) {
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCore()
			var last []Action
			for _, e := range tc.events {
				last = c.Step(startTime, e)
			}
			qt.Assert(t, typeNames(last), qt.DeepEquals, tc.want)
			qt.Assert(t, memberIDs(c), qt.DeepEquals, tc.members)
		})
	}
}

func TestCoreStep(t *testing.T) {
	leaving := member(2)
	leaving.State = wire.StateLeaving
	successor := member(2)
	successor.ID = 22
	wrongKey := itemOf(member(2), 9)
	wrongKey.Key = testKeys.memberKey(addr(9))
	config := func(revision uint64) Item { return Item{Key: "mesh/config", Value: []byte("c"), Revision: revision} }
	all := Listed{Items: []Item{itemOf(member(1), 1), itemOf(member(2), 2), itemOf(member(3), 3)}}
	tests := map[string]coreTest{
		"list":              {[]Event{all}, []string{"PublishMembers", "QueryPeer", "QueryPeer"}, []uint64{1, 2, 3}}, // a new agent asks two peers what the store may have lost
		"own entry missing": {[]Event{Listed{}}, []string{"Announce"}, []uint64{}},
		"own entry revoked": {[]Event{all, Changed{Items: []Item{{Key: testKeys.memberKey(addr(1)), Revision: 7, Deleted: true}}}}, []string{"Announce"}, []uint64{1, 2, 3}},
		"entry missing":     {[]Event{all, Changed{Items: []Item{{Key: testKeys.memberKey(addr(2)), Revision: 7, Deleted: true}}}}, []string{"ProbeMember"}, []uint64{1, 2, 3}},
		"missing and dead":  {[]Event{all, Changed{Items: []Item{{Key: testKeys.memberKey(addr(2)), Revision: 7, Deleted: true}}}, MemberProbed{2, false}}, []string{"PublishMembers"}, []uint64{1, 3}},
		"missing and alive": {[]Event{all, Changed{Items: []Item{{Key: testKeys.memberKey(addr(2)), Revision: 7, Deleted: true}}}, MemberProbed{2, true}}, []string{}, []uint64{1, 2, 3}},
		"missing, written again before the probe result": {[]Event{all, Changed{Items: []Item{{Key: testKeys.memberKey(addr(2)), Revision: 7, Deleted: true}}}, Changed{Items: []Item{itemOf(member(2), 8)}}, MemberProbed{2, false}}, []string{}, []uint64{1, 2, 3}},
		"leaving, then missing":                          {[]Event{all, Changed{Items: []Item{itemOf(leaving, 7)}}, Changed{Items: []Item{{Key: testKeys.memberKey(addr(2)), Revision: 8, Deleted: true}}}}, []string{"PublishMembers"}, []uint64{1, 3}},
		"missing from a later list":                      {[]Event{all, Listed{Items: []Item{itemOf(member(1), 1), itemOf(member(3), 3)}, Revision: 4}}, []string{"ProbeMember"}, []uint64{1, 2, 3}},
		"missing from a list that was late":              {[]Event{all, Changed{Items: []Item{itemOf(member(4), 9)}, Revision: 9}, Listed{Items: []Item{itemOf(member(1), 1), itemOf(member(2), 2), itemOf(member(3), 3)}, Revision: 4}}, []string{}, []uint64{1, 2, 3, 4}},
		"restarted":                                      {[]Event{all, Changed{Items: []Item{itemOf(successor, 7)}}}, []string{"PublishMembers"}, []uint64{1, 22, 3}},
		"older entry after a newer one":                  {[]Event{all, Changed{Items: []Item{itemOf(successor, 7)}}, Changed{Items: []Item{itemOf(member(2), 5)}}}, []string{}, []uint64{1, 22, 3}},
		"malformed entry":                                {[]Event{all, Changed{Items: []Item{{Key: testKeys.memberKey(addr(4)), Value: []byte("no"), Revision: 7}}}}, []string{}, []uint64{1, 2, 3}},
		"entry of another address":                       {[]Event{all, Changed{Items: []Item{wrongKey}}}, []string{}, []uint64{1, 2, 3}},
		"configuration":                                  {[]Event{Changed{Items: []Item{config(5)}}}, []string{"ApplyConfig"}, []uint64{}},
		"older configuration":                            {[]Event{Changed{Items: []Item{config(5)}}, Changed{Items: []Item{config(4)}}}, []string{}, []uint64{}},
		"configuration deleted":                          {[]Event{Changed{Items: []Item{config(5)}}, Changed{Items: []Item{{Key: "mesh/config", Revision: 6, Deleted: true}}}}, []string{}, []uint64{}},
		"newer configuration from a peer":                {[]Event{Changed{Items: []Item{config(5)}}, PeerReplied{Reply: wire.RegistryReply{Config: 6, Value: []byte("d")}}}, []string{"ApplyConfig"}, []uint64{}},
		"older configuration from a peer":                {[]Event{Changed{Items: []Item{config(5)}}, PeerReplied{Reply: wire.RegistryReply{Config: 4, Value: []byte("d")}}}, []string{}, []uint64{}},
		"unknown member from a peer":                     {[]Event{all, PeerReplied{Reply: wire.RegistryReply{Members: []wire.RegistryEntry{{Key: testKeys.memberKey(addr(4)), Revision: 9, Member: member(4)}}}}}, []string{"PublishMembers"}, []uint64{1, 2, 3, 4}},
		"member missing from a peer's reply":             {[]Event{all, PeerReplied{Reply: wire.RegistryReply{}}}, []string{}, []uint64{1, 2, 3}},
		"own entry from a peer":                          {[]Event{all, PeerReplied{Reply: wire.RegistryReply{Members: []wire.RegistryEntry{{Key: testKeys.memberKey(addr(1)), Revision: 9, Member: member(7)}}}}}, []string{}, []uint64{1, 2, 3}},
	}
	runCoreTests(t, tests)
}

// An agent without the store must query its peers several times within the 2 s in which a configuration must be in force.
func TestCoreQueryPeer(t *testing.T) {
	c := newCore()
	c.Step(startTime, Listed{Items: []Item{itemOf(member(1), 1), itemOf(member(2), 2)}})
	qt.Assert(t, c.Step(startTime, StoreLost{}), qt.HasLen, 0)
	queries := 0
	for ms := 0; ms < 2000; ms += 100 {
		for _, a := range c.Step(startTime.Add(time.Duration(ms)*time.Millisecond), Tick{}) {
			qt.Assert(t, a, qt.Equals, Action(QueryPeer{Member: member(2)}))
			queries++
		}
	}
	qt.Assert(t, queries, qt.Equals, 4)
	c.Step(startTime.Add(2*time.Second), StoreAnswered{})
	qt.Assert(t, c.Step(startTime.Add(3*time.Second), Tick{}), qt.HasLen, 0)
}
