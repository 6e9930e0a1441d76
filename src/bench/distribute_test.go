package bench

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/wire"
)

func inForce(c *qt.C, version uint64, members *roster.View, bodies ...wire.Body) *daemon.ActiveState {
	all := map[string]wire.Body{}
	for _, b := range bodies {
		all[b.Service] = b
	}
	s, err := ledger.NewSnapshot(version, all)
	c.Assert(err, qt.IsNil)
	t, err := dispatch.NewTable(s, members)
	c.Assert(err, qt.IsNil)
	return &daemon.ActiveState{Snapshot: s, View: members, Table: t}
}

func body(version uint64, service string, revision int) wire.Body {
	data := SyntheticDocument(service, revision)
	return wire.Body{Service: service, Version: version, Digest: ledger.Digest(data), Data: data}
}

func TestObserverSeesBrokenPromises(t *testing.T) {
	one := roster.NewView(1, []wire.Member{{ID: 1, Service: "a"}})
	none := roster.NewView(2, nil)
	tests := map[string]struct {
		states                      func(c *qt.C) []*daemon.ActiveState
		backward, dangling, partial int
	}{
		"in order": {states: func(c *qt.C) []*daemon.ActiveState {
			return []*daemon.ActiveState{inForce(c, 1, one, body(1, "a", 0)), inForce(c, 2, one, body(2, "a", 1))}
		}},
		"backward": {backward: 1, states: func(c *qt.C) []*daemon.ActiveState {
			return []*daemon.ActiveState{inForce(c, 2, one, body(2, "a", 1)), inForce(c, 1, one, body(1, "a", 0))}
		}},
		"documents of an earlier version": {partial: 1, states: func(c *qt.C) []*daemon.ActiveState {
			return []*daemon.ActiveState{inForce(c, 1, one, body(1, "a", 0)), inForce(c, 2, one, body(1, "a", 0))}
		}},
		"a member that the view does not hold": {dangling: 1, states: func(c *qt.C) []*daemon.ActiveState {
			f := inForce(c, 1, one, body(1, "a", 0))
			f.View = none
			return []*daemon.ActiveState{f}
		}},
		"a service that is not held": {dangling: 1, states: func(c *qt.C) []*daemon.ActiveState {
			f := inForce(c, 1, one, body(1, "a", 0))
			f.Snapshot.Documents["a"].Routes[0].Targets = []document.Target{{Service: "gone"}}
			return []*daemon.ActiveState{f}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := newObserver()
			n := &Node{daemon: &daemon.Daemon{}}
			for _, f := range tc.states(c) {
				o.note(n, f)
			}
			c.Check(o.backward, qt.Equals, tc.backward)
			c.Check(o.dangling, qt.Equals, tc.dangling)
			base := map[string][]byte{"a": SyntheticDocument("a", 0)}
			changes := []change{{version: 2, service: "a", data: SyntheticDocument("a", 1)}}
			c.Check(o.partial(base, 1, changes), qt.Equals, tc.partial)
		})
	}
}

func TestLag(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	all := func(*Node) bool { return true }
	tests := map[string]struct {
		steps   []step
		outages []outage
		want    time.Duration
		served  bool
	}{
		"from acceptance":             {steps: []step{{at(0), 1}, {at(12), 5}}, want: 2 * time.Second, served: true},
		"by a later version":          {steps: []step{{at(0), 1}, {at(13), 9}}, want: 3 * time.Second, served: true},
		"before the editor knew":      {steps: []step{{at(9), 5}}, served: true},
		"from its first state":        {steps: []step{{at(20), 4}, {at(21), 5}}, want: time.Second, served: true},
		"from the end of an outage":   {steps: []step{{at(0), 1}, {at(31), 5}}, outages: []outage{{at(5), at(30), all}}, want: time.Second, served: true},
		"an outage still on":          {steps: []step{{at(0), 1}, {at(12), 5}}, outages: []outage{{at(5), at(30), all}}, want: 2 * time.Second, served: true},
		"an outage of other daemons":  {steps: []step{{at(0), 1}, {at(31), 5}}, outages: []outage{{at(5), at(30), func(*Node) bool { return false }}}, want: 21 * time.Second, served: true},
		"an outage after it was late": {steps: []step{{at(0), 1}, {at(15), 5}}, outages: []outage{{at(16), at(30), all}}, want: 5 * time.Second, served: true},
		"never":                       {steps: []step{{at(0), 1}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, served := (&life{steps: tc.steps}).lag(change{version: 5, accepted: at(10)}, tc.outages)
			c.Check(served, qt.Equals, tc.served)
			c.Check(got, qt.Equals, tc.want)
		})
	}
}

func TestDistributeKeepsPromises(t *testing.T) {
	c := qt.New(t)
	d := &Distribute{Daemons: 6, Changes: 6, Rate: 3, Profile: settings.ProfileFast, Quiet: time.Second, Faults: []string{"cut", "paused", "lost_answers"}, Seed: 1}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := d.Run(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Held(), qt.IsNil, qt.Commentf("%+v", r))
	c.Assert(r.Changes, qt.Equals, 6)
	c.Assert(r.ControlBytesPerDaemonS > 0, qt.IsTrue)
}

func TestDistributeRefusesBadInput(t *testing.T) {
	tests := map[string]func(d *Distribute){
		"daemons":  func(d *Distribute) { d.Daemons = 1 },
		"changes":  func(d *Distribute) { d.Changes = 0 },
		"rate":     func(d *Distribute) { d.Rate = 0 },
		"baseline": func(d *Distribute) { d.Baseline = "watch" },
		"fault":    func(d *Distribute) { d.Faults = []string{"gravity"} },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			d := Distribute{Daemons: 6, Changes: 1, Rate: 1}
			spoil(&d)
			_, err := d.Run(context.Background())
			qt.Assert(t, err, qt.ErrorIs, problem.Usage)
		})
	}
}
