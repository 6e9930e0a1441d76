package registry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	testOrder = "mesh/order/s"
	testPlan  = "mesh/plan/s"
)

// newItemCore returns a core whose records are kept by their number.
func newItemCore() *Core {
	keys := testKeys
	keys.RolloutPrefix, keys.PlanPrefix = "mesh/order/", "mesh/plan/"
	return &Core{Keys: keys, ID: 9, Rand: rand.New(rand.NewPCG(1, 2)), KeepItem: func(key string, known, shown []byte) bool {
		return key == testPlan && string(known) > string(shown)
	}}
}

// stepItems passes events to a core and returns its actions on items.
func stepItems(core *Core, events ...Event) string {
	var out []string
	for _, e := range events {
		for _, a := range core.Step(time.Unix(1, 0), e) {
			switch a := a.(type) {
			case DeliverItem:
				out = append(out, fmt.Sprintf("%s=%s", a.Item.Key[5:], a.Item.Value))
			case RestoreItem:
				out = append(out, fmt.Sprintf("restore %s=%s", a.Item.Key[5:], a.Item.Value))
			}
		}
	}
	return strings.Join(out, ", ")
}

// Orders and records must never go back: not by a late answer, not by a peer that is behind, and not
// by a store that comes back from an older copy. Guards against a settled order that starts again.
func TestCoreItems(t *testing.T) {
	item := func(key, value string, era, number uint64) Item {
		return Item{Key: key, Value: []byte(value), Revision: JoinRevision(era, number), Deleted: value == ""}
	}
	listed := func(era, number uint64, items ...Item) Event {
		return Listed{Items: items, Revision: JoinRevision(era, number)}
	}
	peer := func(authoritative bool, i Item) Event {
		return PeerReplied{Authoritative: authoritative, Reply: wire.RegistryReply{Items: []wire.RegistryItem{{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}}}}
	}
	known := listed(1, 20, item(testOrder, "v2", 1, 10), item(testPlan, "5", 1, 20))
	tests := map[string]struct {
		next []Event
		want string
	}{
		"later record":                {[]Event{Changed{Items: []Item{item(testPlan, "6", 1, 21)}, Revision: JoinRevision(1, 21)}}, "plan/s=6"},
		"late answer":                 {[]Event{Changed{Items: []Item{item(testPlan, "4", 1, 19)}, Revision: JoinRevision(1, 21)}}, ""},
		"order deleted":               {[]Event{listed(1, 30, item(testPlan, "5", 1, 20))}, "order/s="},
		"peer says deleted":           {[]Event{peer(false, item(testOrder, "", 1, 30))}, ""},
		"reader says deleted":         {[]Event{peer(true, item(testOrder, "", 1, 30))}, "order/s="},
		"peer behind":                 {[]Event{peer(false, item(testPlan, "4", 1, 19))}, ""},
		"older copy, earlier record":  {[]Event{listed(2, 15, item(testOrder, "v2", 2, 10), item(testPlan, "4", 2, 15))}, "restore plan/s=5"},
		"older copy, no record":       {[]Event{listed(2, 15, item(testOrder, "v2", 2, 10))}, "restore plan/s=5"},
		"older copy, nothing":         {[]Event{listed(2, 5)}, "restore plan/s=5"},
		"copy that holds all":         {[]Event{listed(2, 20, item(testOrder, "v2", 2, 10), item(testPlan, "5", 2, 20))}, ""},
		"later record after the copy": {[]Event{listed(2, 5), Changed{Items: []Item{item(testPlan, "6", 2, 6)}, Revision: JoinRevision(2, 6)}}, "restore plan/s=5, plan/s=6"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			core := newItemCore()
			qt.Assert(t, stepItems(core, known), qt.Equals, "order/s=v2, plan/s=5")
			qt.Check(t, stepItems(core, tc.next...), qt.Equals, tc.want)
		})
	}
}

// An agent that starts on a restored store learns from a peer, which it asks, of the record that the
// store lacks, and one that starts during an outage of all that the peer knows. It must not count as
// knowing the records before. Guards against a new server that runs calls of a settled order.
func TestCoreItemsAtStart(t *testing.T) {
	c := qt.New(t)
	peer := newItemCore()
	stepItems(peer, Listed{Items: []Item{{Key: testOrder, Value: []byte("v2"), Revision: JoinRevision(1, 10)}, {Key: testPlan, Value: []byte("5"), Revision: JoinRevision(1, 20)}}, Revision: JoinRevision(1, 20)})
	restored := Listed{Items: []Item{{Key: testPlan, Value: []byte("4"), Revision: JoinRevision(2, 15)}, itemOf(member(1), JoinRevision(2, 3))}, Revision: JoinRevision(2, 15)}
	stepItems(peer, restored)

	now := time.Unix(1, 0)
	late := newItemCore()
	c.Check(late.KnowsItems(now), qt.IsFalse)
	c.Check(stepItems(late, restored), qt.Equals, "plan/s=4")
	c.Check(late.KnowsItems(now), qt.IsFalse)
	c.Check(stepItems(late, PeerReplied{Reply: peer.Reply(wire.RegistryRequest{After: 1<<64 - 1, Start: true})}, StartQueryEnded{}), qt.Equals, "order/s=v2, plan/s=5, restore plan/s=5")
	c.Check(late.KnowsItems(now), qt.IsTrue)

	cutOff := newItemCore()
	c.Check(stepItems(cutOff, StoreLost{}), qt.Equals, "")
	c.Check(cutOff.KnowsItems(now), qt.IsFalse)
	c.Check(stepItems(cutOff, PeerReplied{Reply: peer.Reply(wire.RegistryRequest{})}), qt.Equals, "order/s=v2, plan/s=5")
	c.Check(cutOff.KnowsItems(now), qt.IsTrue)
}
