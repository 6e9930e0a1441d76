package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/wire"
)

// verdictFixture is three coordinators and a store with conditional writes. Whatever one sends to
// the other is kept in messages until the test delivers, repeats or drops it.
type verdictFixture struct {
	now          time.Time
	coordinators [3]*Coordinator
	messages     []func()
	asked        [3]int   // number of the coordinator's last call to the store
	failed       [3]Event // answer that says that it failed, nil if it was answered

	era, number    uint64
	plan           Plan
	revision       uint64
	status         string
	statusRevision uint64
	verdicts       map[uint64][]Stage // by order, one for each time that the store took one
	order          Order
}

func newVerdictFixture() *verdictFixture {
	f := &verdictFixture{now: time.Unix(1000, 0), era: 1, number: 10, verdicts: map[uint64][]Stage{}}
	f.order = Order{Service: "shop", TargetVersion: "2", Duration: 10 * time.Second, Revision: registry.JoinRevision(1, 9)}
	for i := range f.coordinators {
		f.restart(i)
	}
	return f
}

// restart replaces a coordinator by one that knows nothing but the order.
func (f *verdictFixture) restart(i int) {
	f.coordinators[i], f.failed[i] = &Coordinator{Service: "shop"}, nil
	f.step(i, RankChanged{Rank: i})
	f.step(i, ServersChanged{[]Server{
		{ID: 1, Version: "1", Slots: 4, Ready: true}, {ID: 2, Version: "1", Slots: 4, Ready: true},
		{ID: 3, Version: "2", Slots: 4, Ready: true}, {ID: 4, Version: "2", Slots: 4, Ready: true},
	}})
	f.step(i, OrderSeen{f.order})
}

// tick passes time and sends good reports, or bad ones, to a coordinator.
func (f *verdictFixture) tick(i int, failures uint32) {
	c := f.coordinators[i]
	for member := uint64(1); member <= 4; member++ {
		n := uint32(f.now.Sub(time.Unix(1000, 0)).Milliseconds() / 20)
		r := wire.RolloutReport{Order: f.order.ID(), Service: "shop", Member: member, Version: "1", Draining: true, Step: 99}
		route := wire.RolloutRoute{Route: "r", Answers: []uint32{n, 0}, Failures: []uint32{0, 0}}
		if member > 2 {
			r.Version = "2"
			route.Failures[0] = n * failures / 10
		}
		r.Routes = []wire.RolloutRoute{route}
		f.step(i, ReportReceived{r})
	}
	if f.coordinators[i] == c {
		f.step(i, Tick{})
	}
}

func (f *verdictFixture) step(i int, e Event) {
	c := f.coordinators[i]
	for _, a := range c.Step(f.now, e) {
		reply := func(e Event) {
			call := f.asked[i]
			f.messages = append(f.messages, func() {
				// An answer to a process that has gone, or after its time-out, is lost.
				if f.coordinators[i] == c && f.asked[i] == call && f.failed[i] != nil {
					f.failed[i] = nil
					f.step(i, e)
				}
			})
		}
		switch a := a.(type) {
		case ReadRecord:
			f.asked[i], f.failed[i] = f.asked[i]+1, ReadFailed{}
			call := f.asked[i]
			f.messages = append(f.messages, func() {
				if f.asked[i] == call {
					reply(RecordRead{f.plan, f.revision, f.statusRevision})
				}
			})
		case WriteRecord:
			f.asked[i], f.failed[i] = f.asked[i]+1, WriteUnsure{}
			call := f.asked[i]
			f.messages = append(f.messages, func() {
				if result := f.write(a); f.asked[i] == call {
					reply(result)
				}
			})
		case BroadcastStop:
			for other := range f.coordinators {
				f.messages = append(f.messages, func() { f.step(other, StopReceived(a)) })
			}
		}
	}
}

// write applies a transaction if its conditions hold and notifies all coordinators.
func (f *verdictFixture) write(w WriteRecord) Event {
	if w.Revision != f.revision || w.StatusRevision != f.statusRevision {
		return WriteConflict{}
	}
	f.number++
	f.plan, f.revision = w.Plan, registry.JoinRevision(f.era, f.number)
	if w.Status != "" {
		f.status, f.statusRevision = w.Status, f.revision
	}
	if w.Plan.Stage.IsSettled() {
		f.verdicts[w.Plan.ID] = append(f.verdicts[w.Plan.ID], w.Plan.Stage)
	}
	f.notify()
	return WriteDone{f.revision}
}

// timeOut fails a coordinator's call to the store that has not been answered.
func (f *verdictFixture) timeOut(i int) {
	if e := f.failed[i]; e != nil {
		f.failed[i] = nil
		f.step(i, e)
	}
}

func (f *verdictFixture) notify() {
	plan, revision := f.plan, f.revision
	for i := range f.coordinators {
		f.messages = append(f.messages, func() { f.step(i, RecordSeen{plan, revision}) })
	}
}

// deliver carries out a message, which stays to be carried out once more if repeat is set.
func (f *verdictFixture) deliver(n int, repeat bool) {
	if len(f.messages) == 0 {
		return
	}
	n %= len(f.messages)
	m := f.messages[n]
	if !repeat {
		f.messages = append(f.messages[:n:n], f.messages[n+1:]...)
	}
	m()
}

// settle lets everything arrive until the order is settled, or long past its deadline.
func (f *verdictFixture) settle(failures uint32) {
	for range 400 {
		f.now = f.now.Add(50 * time.Millisecond)
		for i := range f.coordinators {
			f.timeOut(i)
			f.tick(i, failures)
		}
		for len(f.messages) > 0 {
			f.deliver(0, false)
		}
	}
}

// Guards against two verdicts, or none, when writes are applied late or twice, answers and
// notifications are lost, repeated or reordered, and coordinators restart or stand still.
func TestOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newVerdictFixture()
		failures := rapid.SampledFrom([]uint32{0, 4}).Draw(t, "failures of 10")
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "coordinator")
			n := rapid.IntRange(0, 50).Draw(t, "message")
			switch rapid.IntRange(0, 12).Draw(t, "what") {
			case 0, 1, 2, 3:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				f.tick(i, failures)
			case 4, 5, 6, 7:
				f.deliver(n, false)
			case 8:
				f.deliver(n, true)
			case 9:
				if len(f.messages) > 0 {
					f.messages = f.messages[1:]
				}
			case 10:
				f.timeOut(i)
			case 11:
				f.now = f.now.Add(3 * time.Second) // all stand still
			case 12:
				f.restart(i)
			}
			if len(f.verdicts[f.order.ID()]) > 1 {
				t.Fatalf("verdicts %v", f.verdicts)
			}
		}
		f.settle(failures)
		want := StageCompleted
		if failures > 0 {
			want = StageRolledBack
		}
		got := f.verdicts[f.order.ID()]
		if len(got) != 1 || failures > 0 && got[0] != want {
			t.Fatalf("verdicts %v, want one, %v at least if the version is bad", got, want)
		}
		if f.status != got[0].String() {
			t.Fatalf("status %q, want %v", f.status, got[0])
		}
	})
}

// Guards against a settled order that starts again, or gets another verdict, after the store was
// restored from a copy taken before its verdict, its first record or its order.
func TestVerdictSurvivesRestoredStore(t *testing.T) {
	tests := map[string]struct{ hasRecord, orderAgain, otherVerdict bool }{
		"copy with an earlier record":         {hasRecord: true},
		"copy without a record":               {},
		"copy without the order, given again": {orderAgain: true},
		"late write of another verdict":       {hasRecord: true, otherVerdict: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newVerdictFixture()
			f.tick(0, 0)
			for len(f.messages) > 0 {
				f.deliver(0, false)
			}
			copied, copiedRevision := f.plan, f.number
			f.settle(4)
			qt.Assert(t, f.verdicts[f.order.ID()], qt.DeepEquals, []Stage{StageRolledBack})

			f.era, f.number = 2, copiedRevision
			f.plan, f.revision, f.statusRevision, f.status = copied, registry.JoinRevision(2, copiedRevision), registry.JoinRevision(2, copiedRevision), "running"
			if !tc.hasRecord {
				f.plan, f.revision, f.statusRevision, f.status = Plan{}, 0, 0, ""
			}
			if tc.otherVerdict { // its condition held again in the copy
				f.plan.Stage, f.plan.Step, f.status = StageCompleted, 9, "completed"
			}
			seen := registry.JoinRevision(2, copiedRevision)
			for i := range f.coordinators {
				f.step(i, RecordSeen{f.plan, seen})
				order := f.order
				order.Revision = registry.JoinRevision(2, 9)
				if tc.orderAgain {
					order.Revision = registry.JoinRevision(2, copiedRevision+1)
				}
				f.step(i, OrderSeen{order})
			}
			f.settle(0)
			qt.Check(t, f.plan.Stage, qt.Equals, StageRolledBack)
			qt.Check(t, f.status, qt.Equals, "rolled_back")
			for _, verdicts := range f.verdicts {
				for _, v := range verdicts {
					qt.Check(t, v, qt.Equals, StageRolledBack)
				}
			}
		})
	}
}
