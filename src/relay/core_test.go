package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
)

// testCore returns the core of member 1 with version 5 in force. Members 1 to 9 are in its failure domain, 11 to 13 in another.
func testCore(c *qt.C) (*Core, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	core := newCore(ReplaySettings{Self: 1, Domain: "mid-a", Profile: settings.ProfileFast}, 7)
	var members []Member
	for id := uint64(1); id <= 9; id++ {
		members = append(members, Member{ID: id, Domain: "mid-a"})
	}
	for id := uint64(11); id <= 13; id++ {
		members = append(members, Member{ID: id, Domain: "mid-b"})
	}
	core.Step(now, Members{Members: members})
	core.Step(now, HeadSeen{Revision: 5, Version: 5})
	for _, id := range []uint64{2, 3, 4} {
		core.Step(now, Asked{Peer: id, Version: 5})
	}
	core.Step(now, Pulled{Peer: 2, Version: 5})
	core.Step(now, Taken{Version: 5, Source: SourcePull, Peer: 2})
	c.Assert(core.Opened(), qt.IsTrue)
	return core, now
}

// kinds returns the trace kind of each action.
func kinds(actions []Action) []string {
	names := []string{}
	for _, a := range actions {
		names = append(names, trace.Kind(a))
	}
	return names
}

func TestCoreStep(t *testing.T) {
	push := func(base, version uint64, subtree ...uint64) Event {
		return PushReceived{From: 2, Base: base, Version: version, Subtree: subtree}
	}
	tests := map[string]struct {
		events []Event
		want   []string // kinds of the last event's actions
	}{
		"push is passed on, then applied":                                    {[]Event{push(5, 6, 3, 4)}, []string{"push", "push", "apply"}},
		"push is not passed on to the daemon itself":                         {[]Event{push(5, 6, 1)}, []string{"apply"}},
		"duplicate push is only passed on":                                   {[]Event{push(5, 6), Taken{Version: 6, Source: SourcePush}, push(5, 6, 3)}, []string{"push"}},
		"older push is only passed on":                                       {[]Event{push(5, 7), Taken{Version: 7, Source: SourcePush}, push(5, 6, 3)}, []string{"push"}},
		"push with a later base is passed on and pulled":                     {[]Event{push(6, 7, 3)}, []string{"push", "pull"}},
		"refused version, such as one of a later release, is only passed on": {[]Event{push(5, 6), Refused{Version: 6, Source: SourcePush}, push(5, 6, 3)}, []string{"push"}},
		"version after a refused one is applied":                             {[]Event{push(5, 6), Refused{Version: 6, Source: SourcePush}, push(5, 7)}, []string{"apply"}},
		"failed push to a leaf is not retried":                               {[]Event{push(5, 6, 3), PushFailed{ID: 1}}, []string{}},
		"refused version is not pulled":                                      {[]Event{Refused{Version: 6, Source: SourcePush}, PeerAhead{Peer: 11, Version: 6}, Tick{}}, []string{}},
		"delta that does not apply to its base causes a full-copy pull":      {[]Event{Refused{Version: 6, Source: SourcePush, Peer: 2, Base: 5, UpdateUnusable: true}}, []string{"pull"}},
		"pull request of a peer that is not behind":                          {[]Event{PullRequested{From: 2, HeldVersion: 5}}, []string{"answer_current"}},
		"pull request of a peer that is behind":                              {[]Event{PullRequested{From: 2, HeldVersion: 4}}, []string{"answer_update"}},
		"head older than the version in force is reported":                   {[]Event{HeadSeen{Revision: 9, Version: 3}}, []string{"store_behind"}},
		"failure of an unknown push is ignored":                              {[]Event{PushFailed{ID: 99}}, []string{}},
		"reordered and duplicate updates are ignored":                        {[]Event{Taken{Version: 8, Source: SourcePull}, Taken{Version: 7, Source: SourcePush}, push(6, 7)}, []string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core, now := testCore(c)
			var actions []Action
			for _, e := range test.events {
				previous := core.HeldVersion()
				actions = core.Step(now, e)
				c.Assert(core.HeldVersion() >= previous, qt.IsTrue)
			}
			c.Assert(kinds(actions), qt.DeepEquals, test.want)
		})
	}
}

// TestCorePushChildUnreachable checks that the next member of the subtree replaces a child that cannot be reached.
func TestCorePushChildUnreachable(t *testing.T) {
	c := qt.New(t)
	core, now := testCore(c)
	core.Tuning.Fanout = 1
	first := core.Step(now, PushReceived{From: 2, Base: 5, Version: 6, Subtree: []uint64{3, 4, 5}})[0].(Push)
	c.Assert(first.To, qt.Equals, uint64(3))
	c.Assert(first.Subtree, qt.DeepEquals, []uint64{4, 5})
	second := core.Step(now, PushFailed{ID: first.ID})[0].(Push)
	c.Assert(second.To, qt.Equals, uint64(4))
	c.Assert(second.Subtree, qt.DeepEquals, []uint64{5, 3}) // the failed child is tried once more, as a leaf
	c.Assert(core.Step(now, PushDone{ID: second.ID}), qt.HasLen, 0)
	c.Assert(core.Step(now, PushFailed{ID: second.ID}), qt.HasLen, 0)
}

// TestCorePushSubtreeDead checks that pushes to a subtree without a live member end instead of being retried forever.
func TestCorePushSubtreeDead(t *testing.T) {
	c := qt.New(t)
	core, now := testCore(c)
	core.Tuning.Fanout = 1
	actions := core.Step(now, PushReceived{From: 2, Base: 5, Version: 6, Subtree: []uint64{3, 4, 5}})
	var tried []uint64
	for len(actions) > 0 && len(tried) < 20 {
		p, ok := actions[0].(Push)
		if !ok {
			break
		}
		tried = append(tried, p.To)
		actions = core.Step(now, PushFailed{ID: p.ID})
	}
	c.Assert(tried, qt.DeepEquals, []uint64{3, 4, 5, 3, 4}) // 5 is not tried again: only members that have failed are left after it
}

// TestCoreFullCopyBudget checks that requests for a full copy beyond the burst are answered as busy, with another peer of the requester's failure domain.
func TestCoreFullCopyBudget(t *testing.T) {
	c := qt.New(t)
	core, now := testCore(c)
	served := 0
	for range 20 {
		switch a := core.Step(now, PullRequested{From: 12})[0].(type) {
		case AnswerUpdate:
			served++
		case AnswerBusy:
			c.Assert(core.domainOf(a.Alternative), qt.Equals, "mid-b")
			c.Assert(a.Alternative, qt.Not(qt.Equals), uint64(12))
			c.Assert(a.RetryAfter >= BusyRetryMin && a.RetryAfter < BusyRetryMax, qt.IsTrue)
		}
	}
	c.Assert(served, qt.Equals, int(core.Tuning.FullCopyBurst))
	later := core.Step(now.Add(time.Second), PullRequested{From: 12})
	c.Assert(kinds(later), qt.DeepEquals, []string{"answer_update"})
}

// TestCorePullAfterUnusableUpdate checks that a delta pull follows an update whose base is neither 0 nor the version held, and the pull of a full copy any other unusable update.
func TestCorePullAfterUnusableUpdate(t *testing.T) {
	tests := map[string]struct{ base, wantHeldVersion uint64 }{
		"delta from the version held": {5, 0},
		"full copy":                   {0, 0},
		"delta from an older version": {4, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core, now := testCore(c)
			p := core.Step(now, Refused{Version: 7, Source: SourcePush, Peer: 2, Base: test.base, UpdateUnusable: true})[0].(Pull)
			c.Assert(p.HeldVersion, qt.Equals, test.wantHeldVersion)
			c.Assert(p.To, qt.Equals, uint64(2))
		})
	}
}

func TestCoreRefusedVersionRetry(t *testing.T) {
	c := qt.New(t)
	core, now := testCore(c)
	core.Step(now, Refused{Version: 6, Source: SourcePush})
	c.Assert(core.needsVersion(now.Add(RefusedRetryDelay-1), 6), qt.IsFalse)
	c.Assert(core.needsVersion(now.Add(RefusedRetryDelay), 6), qt.IsTrue)
}

func TestPartition(t *testing.T) {
	tests := map[string]struct {
		ids    []uint64
		fanout int
		want   [][]uint64
	}{
		"none":         {nil, 3, nil},
		"few":          {[]uint64{1, 2}, 3, [][]uint64{{1}, {2}}},
		"even":         {[]uint64{1, 2, 3, 4}, 2, [][]uint64{{1, 2}, {3, 4}}},
		"uneven parts": {[]uint64{1, 2, 3, 4, 5}, 2, [][]uint64{{1, 2}, {3, 4, 5}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, partition(test.ids, test.fanout), qt.DeepEquals, test.want)
		})
	}
}
