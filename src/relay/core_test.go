package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
)

// testCore returns the core of member 1 among members 1 to 9 of one failure domain and 11 to 13 of another, with version 5 in force.
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
	c.Assert(core.Joined(), qt.IsTrue)
	return core, now
}

func kinds(actions []Action) []string {
	names := []string{}
	for _, a := range actions {
		names = append(names, trace.Kind(a))
	}
	return names
}

func TestCore(t *testing.T) {
	push := func(base, version uint64, subtree ...uint64) Event {
		return PushReceived{From: 2, Base: base, Version: version, Subtree: subtree}
	}
	tests := map[string]struct {
		events []Event
		want   []string // kinds of the last event's actions
	}{
		"a push is passed on, then applied":                            {[]Event{push(5, 6, 3, 4)}, []string{"push", "push", "apply"}},
		"a push is not passed on to oneself":                           {[]Event{push(5, 6, 1)}, []string{"apply"}},
		"a repeated push is passed on only":                            {[]Event{push(5, 6), Taken{Version: 6, Source: SourcePush}, push(5, 6, 3)}, []string{"push"}},
		"an older push is passed on only":                              {[]Event{push(5, 7), Taken{Version: 7, Source: SourcePush}, push(5, 6, 3)}, []string{"push"}},
		"a push past a gap is passed on, pulled":                       {[]Event{push(6, 7, 3)}, []string{"push", "pull"}},
		"a version from the future that was refused is passed on only": {[]Event{push(5, 6), Refused{Version: 6, Source: SourcePush}, push(5, 6, 3)}, []string{"push"}},
		"the version after a refused one is taken":                     {[]Event{push(5, 6), Refused{Version: 6, Source: SourcePush}, push(5, 7)}, []string{"apply"}},
		"a child that cannot be reached is replaced":                   {[]Event{push(5, 6, 3), PushFailed{ID: 1}}, []string{}},
		"a refused version is not pulled":                              {[]Event{Refused{Version: 6, Source: SourcePush}, PeerAhead{Peer: 11, Version: 6}, Tick{}}, []string{}},
		"a broken delta leads to a full copy":                          {[]Event{Refused{Version: 6, Source: SourcePush, Peer: 2, Base: 5, BadUpdate: true}}, []string{"pull"}},
		"a peer that is not behind":                                    {[]Event{PullRequested{From: 2, HeldVersion: 5}}, []string{"answer_current"}},
		"a peer that is behind":                                        {[]Event{PullRequested{From: 2, HeldVersion: 4}}, []string{"answer_update"}},
		"a head below the version in force":                            {[]Event{HeadSeen{Revision: 9, Version: 3}}, []string{"store_behind"}},
		"an unknown push fails":                                        {[]Event{PushFailed{ID: 99}}, []string{}},
		"updates reordered and repeated":                               {[]Event{Taken{Version: 8, Source: SourcePull}, Taken{Version: 7, Source: SourcePush}, push(6, 7)}, []string{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core, now := testCore(c)
			var actions []Action
			for _, e := range test.events {
				have := core.HeldVersion()
				actions = core.Step(now, e)
				c.Assert(core.HeldVersion() >= have, qt.IsTrue)
			}
			c.Assert(kinds(actions), qt.DeepEquals, test.want)
		})
	}
}

func TestCoreReplacesAChildThatCannotBeReached(t *testing.T) {
	c := qt.New(t)
	core, now := testCore(c)
	core.Tuning.Fanout = 1
	first := core.Step(now, PushReceived{From: 2, Base: 5, Version: 6, Subtree: []uint64{3, 4, 5}})[0].(Push)
	c.Assert(first.To, qt.Equals, uint64(3))
	c.Assert(first.Subtree, qt.DeepEquals, []uint64{4, 5})
	second := core.Step(now, PushFailed{ID: first.ID})[0].(Push)
	c.Assert(second.To, qt.Equals, uint64(4))
	c.Assert(second.Subtree, qt.DeepEquals, []uint64{5, 3}) // the first is tried once more, as a leaf
	c.Assert(core.Step(now, PushDone{ID: second.ID}), qt.HasLen, 0)
	c.Assert(core.Step(now, PushFailed{ID: second.ID}), qt.HasLen, 0)
}

// TestCoreGivesUpOnAPartThatIsDead shows that pushes to a dead part of the tree end.
func TestCoreGivesUpOnAPartThatIsDead(t *testing.T) {
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
	c.Assert(tried, qt.DeepEquals, []uint64{3, 4, 5, 3, 4})
}

func TestCoreServesFullCopiesUnderABudget(t *testing.T) {
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

func TestCorePullsWhatAGapNeeds(t *testing.T) {
	tests := map[string]struct{ base, have uint64 }{
		"made for the version held": {5, 0},
		"a full copy":               {0, 0},
		"made for an older version": {4, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core, now := testCore(c)
			p := core.Step(now, Refused{Version: 7, Source: SourcePush, Peer: 2, Base: test.base, BadUpdate: true})[0].(Pull)
			c.Assert(p.HeldVersion, qt.Equals, test.have)
			c.Assert(p.To, qt.Equals, uint64(2))
		})
	}
}

func TestCoreTriesARefusedVersionAgain(t *testing.T) {
	c := qt.New(t)
	core, now := testCore(c)
	core.Step(now, Refused{Version: 6, Source: SourcePush})
	c.Assert(core.wants(now.Add(RefusedRetryDelay-1), 6), qt.IsFalse)
	c.Assert(core.wants(now.Add(RefusedRetryDelay), 6), qt.IsTrue)
}

func TestSplit(t *testing.T) {
	tests := map[string]struct {
		ids    []uint64
		fanout int
		want   [][]uint64
	}{
		"none":     {nil, 3, nil},
		"few":      {[]uint64{1, 2}, 3, [][]uint64{{1}, {2}}},
		"even":     {[]uint64{1, 2, 3, 4}, 2, [][]uint64{{1, 2}, {3, 4}}},
		"not even": {[]uint64{1, 2, 3, 4, 5}, 2, [][]uint64{{1, 2}, {3, 4, 5}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, split(test.ids, test.fanout), qt.DeepEquals, test.want)
		})
	}
}
