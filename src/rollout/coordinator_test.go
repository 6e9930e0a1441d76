package rollout

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/wire"
)

// follow passes events to a coordinator, each 10 ms after the one before, writes at once what it asks
// for and returns what it logged.
func follow(c *Coordinator, events ...Event) (logged []string, written []Plan) {
	now := time.Unix(1000, 0)
	revision := uint64(100)
	var held RecordRead
	for len(events) > 0 {
		now = now.Add(10 * time.Millisecond)
		if pause, ok := events[0].(pauseEvent); ok {
			now = now.Add(time.Duration(pause))
			events = events[1:]
			continue
		}
		if seen, ok := events[0].(RecordSeen); ok {
			held = RecordRead{Plan: seen.Plan, Revision: seen.Revision, StatusRevision: seen.Revision}
		}
		actions := c.Step(now, events[0])
		events = events[1:]
		for _, a := range actions {
			switch a := a.(type) {
			case Log:
				logged = append(logged, a.Message)
			case ReadRecord:
				events = slices.Insert(events, 0, Event(held))
			case WriteRecord:
				revision++
				written = append(written, a.Plan)
				held = RecordRead{Plan: a.Plan, Revision: revision, StatusRevision: revision}
				events = slices.Insert(events, 0, Event(WriteDone{revision}))
			}
		}
	}
	return logged, written
}

// pauseEvent stands for time without an event.
type pauseEvent time.Duration

func (pauseEvent) isEvent() {}

// Guards against an order that is out of the ordinary and changes more than it is defined to: the
// rollout that runs goes on, and each case is logged once.
func TestUnusualOrders(t *testing.T) {
	order := Order{Service: "shop", TargetVersion: "2", Duration: 10 * time.Second, Revision: registry.JoinRevision(1, 50)}
	other := Order{Service: "shop", TargetVersion: "3", Duration: 10 * time.Second, Revision: registry.JoinRevision(1, 60)}
	servers := ServersChanged{[]Server{{ID: 1, Version: "1", Slots: 4, Ready: true}, {ID: 2, Version: "2", Slots: 4, Ready: true}}}
	running := []Event{RankChanged{0}, servers, OrderSeen{order}, Tick{}}
	absent := []Event{RankChanged{0}, ServersChanged{[]Server{{ID: 1, Version: "1", Slots: 4, Ready: true}}}, OrderSeen{order}, Tick{}}
	invalid := OrderInvalid{Revision: 70, Err: errors.New("bad")}
	tests := map[string]struct {
		before, events []Event
		wantLogged     string // last, or contained
		want           []Stage
	}{
		"another order while one runs":           {running, []Event{OrderSeen{other}, OrderSeen{other}, Tick{}}, "rollout order waits until the running one is settled", []Stage{StageCanary}},
		"the same order again":                   {running, []Event{OrderSeen{order}, Tick{}}, "rollout canary", []Stage{StageCanary}},
		"the same order in a later era":          {running, []Event{OrderSeen{Order{"shop", "2", 10 * time.Second, registry.JoinRevision(2, 40)}}, Tick{}}, "rollout canary", []Stage{StageCanary}},
		"withdrawn while it runs":                {running, []Event{OrderWithdrawn{registry.JoinRevision(1, 70)}, OrderWithdrawn{registry.JoinRevision(1, 70)}, Tick{}}, "rollout rolled_back", []Stage{StageCanary, StageRolledBack}},
		"missing in a restored store":            {running, []Event{OrderWithdrawn{registry.JoinRevision(2, 20)}, Tick{}}, "rollout order missing in the restored store, going on", []Stage{StageCanary}},
		"withdrawn before it starts":             {absent, []Event{OrderWithdrawn{registry.JoinRevision(1, 70)}, servers, Tick{}}, "rollout order withdrawn before it started", nil},
		"withdrawn, then its record is seen":     {absent, []Event{OrderWithdrawn{registry.JoinRevision(1, 70)}, RecordSeen{Plan{Order: order, ID: order.ID(), Stage: StageCanary, Step: 1}, registry.JoinRevision(1, 71)}, Tick{}}, "rollout rolled_back", []Stage{StageRolledBack}},
		"no server of the version":               {absent, []Event{Tick{}, pauseEvent(9 * time.Second), Tick{}}, "rollout order seen", nil},
		"no server of the version until the end": {absent, []Event{Tick{}, pauseEvent(11 * time.Second), Tick{}, Tick{}}, "rollout rolled_back", []Stage{StageRolledBack}},
		"cannot be decoded":                      {running, []Event{invalid, invalid, Tick{}}, "rollout order refused", []Stage{StageCanary}},
		"duration of 0":                          {running, []Event{OrderSeen{Order{"shop", "3", 0, 80}}, OrderSeen{Order{"shop", "3", 0, 80}}}, "rollout order refused", []Stage{StageCanary}},
		"next order once the first is settled":   {running, []Event{OrderSeen{other}, StopReceived{order.ID(), "bad"}, ServersChanged{[]Server{{ID: 1, Version: "1", Slots: 4, Ready: true}, {ID: 3, Version: "3", Slots: 4, Ready: true}}}, Tick{}}, "rollout canary", []Stage{StageCanary, StageRolledBack, StageCanary}},
		"settled order seen again":               {running, []Event{StopReceived{order.ID(), "bad"}, OrderSeen{order}, Tick{}}, "rollout rolled_back", []Stage{StageCanary, StageRolledBack}},
		"settled order repeated in a later era":  {running, []Event{StopReceived{order.ID(), "bad"}, OrderSeen{Order{"shop", "2", 10 * time.Second, registry.JoinRevision(2, 90)}}, OrderSeen{Order{"shop", "2", 10 * time.Second, registry.JoinRevision(2, 90)}}, Tick{}}, "rollout order repeated after the store was restored, already settled", []Stage{StageCanary, StageRolledBack}},
		"no server of another version":           {[]Event{RankChanged{0}, ServersChanged{[]Server{{ID: 2, Version: "2", Slots: 4, Ready: true}}}, OrderSeen{order}}, []Event{Tick{}, pauseEvent(3 * time.Second), Tick{}}, "rollout completed", []Stage{StageCompleted}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			logged, written := follow(&Coordinator{Service: "shop"}, append(slices.Clone(tc.before), tc.events...)...)
			var stages []Stage
			for _, p := range written {
				stages = append(stages, p.Stage)
			}
			qt.Check(t, stages, qt.DeepEquals, tc.want)
			count := 0
			for _, l := range logged {
				if l == tc.wantLogged {
					count++
				}
			}
			if name != "next order once the first is settled" {
				qt.Check(t, count, qt.Equals, 1, qt.Commentf("%s", strings.Join(logged, "\n")))
			}
		})
	}
}

// Guards against a coordinator that was suspended, or is cut off from the new servers, and moves more
// requests to them on what it knew before; and against requests moved to too few servers.
func TestCoordinatorWithOldNews(t *testing.T) {
	tests := map[string]struct {
		pause   time.Duration // without ticks
		reports bool
		slots   int // of the new server; the old one has 40
		want    int // records written
	}{
		"connected":            {0, true, 40, 4},
		"cut off from servers": {0, false, 40, 1},
		"suspended":            {3 * time.Second, true, 40, 1},
		"too few slots":        {0, true, 7, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &Coordinator{Service: "shop"}
			order := Order{Service: "shop", TargetVersion: "2", Duration: 10 * time.Second, Revision: 50}
			report := wire.RolloutReport{Order: order.ID(), Service: "shop", Member: 2, Version: "2", Routes: []wire.RolloutRoute{{Route: "r", Answers: []uint32{100, 0}, Failures: []uint32{0, 0}}}}
			events := []Event{RankChanged{0}, ServersChanged{[]Server{{ID: 1, Version: "1", Slots: 40, Ready: true}, {ID: 2, Version: "2", Slots: tc.slots, Ready: true}}}, OrderSeen{order}, Tick{}}
			for range 59 - int(tc.pause/(100*time.Millisecond)) {
				if tc.reports {
					events = append(events, ReportReceived{report})
				}
				events = append(events, pauseEvent(80*time.Millisecond), Tick{})
			}
			events = append(events, pauseEvent(tc.pause), Tick{})
			_, written := follow(c, events...)
			qt.Check(t, written, qt.HasLen, tc.want)
		})
	}
}
