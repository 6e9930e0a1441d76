package deposit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// timed is an event and what the core does on it.
type timed struct {
	after time.Duration // since the event before
	event Event
	want  string // kind of the last action, with its decision and reason
}

func describe(actions []Action) string {
	if len(actions) == 0 {
		return ""
	}
	switch a := actions[0].(type) {
	case Decide:
		return a.Kind + ": " + a.Reason
	case Close:
		return a.Reason
	default:
		return trace.Kind(a)
	}
}

func TestCore(t *testing.T) {
	arrived := func(call uint64) Event {
		return Arrived{Call: call, Service: "s", Key: string(rune('a' + call)), Fingerprint: 7}
	}
	missing := func(call uint64) Event { return SlotRead{Call: call, Result: ResultMissing} }
	start := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	other := Claim{ID: wire.ClaimID{Holder: 2, Sequence: uint64(start.UnixNano()) + 1}, Digest: digest("s", "b")}
	full := wire.ClaimSlot{Claims: []wire.Claim{{Body: make([]byte, maxSlotSize)}}}
	tests := map[string][]timed{
		"budget": {
			{0, arrived(1), "read_slot"},
			{0, missing(1), "swap_slot"},
			{0, SlotSwapped{Call: 1, Result: ResultOK, Revision: 1}, "granted: written"},
			{0, arrived(2), "read_slot"},
			{0, arrived(3), "not_run: budget of store writes spent"},
			{2 * time.Second, arrived(4), "not_run: budget of store writes spent"}, // two calls have the rest promised
			{0, SlotRead{Call: 2, Result: ResultUnavailable}, "not_run: store unavailable"},
			{maxPause, arrived(5), "read_slot"},
		},
		"store fails": {
			{0, arrived(1), "read_slot"},
			{0, SlotRead{Call: 1, Result: ResultUnavailable}, "not_run: store unavailable"},
			{0, arrived(2), "not_run: store failed a moment ago"},
			{firstPause, arrived(3), "read_slot"},
			{0, SlotRead{Call: 3, Result: ResultUnavailable}, "not_run: store unavailable"},
			{firstPause / 2, arrived(4), "not_run: store failed a moment ago"},
			{2 * firstPause, arrived(5), "read_slot"},
			{0, missing(5), "swap_slot"},
			{0, arrived(6), "read_slot"},
		},
		"clock ahead":  {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultMissing, Skew: -maxSkew - 1}, "not_run: clock differs from the store's"}},
		"clock behind": {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultMissing, Skew: maxSkew + 1}, "not_run: clock differs from the store's"}},
		"clock right":  {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultMissing, Skew: maxSkew}, "swap_slot"}},
		"slot full":    {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultOK, Revision: 1, Slot: full}, "not_run: slot full"}},
		"another holder's claim": {
			{0, arrived(1), "read_slot"},
			{0, missing(1), "swap_slot"},
			{0, SlotSwapped{Call: 1, Result: ResultOK, Revision: 1}, "granted: written"},
			{0, Ended{Call: 2, Claim: other}, "claim not open here"},
			{0, Confirming{Call: 3, Claim: other}, "claim not open here"},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core := newHolder(1, 0).core
			core.WritesPerSecond = 4
			now := start
			full.Claims[0].At = now.UnixMilli()
			for i, s := range steps {
				now = now.Add(s.after)
				c.Assert(describe(core.Step(now, s.event)), qt.Equals, s.want, qt.Commentf("event %d", i))
			}
		})
	}
}

func TestRecordTooLargeIsOmitted(t *testing.T) {
	c := qt.New(t)
	r := Record{Status: 201, Body: make([]byte, MaxRecordSize)}
	c.Check(r.bounded(), qt.DeepEquals, r)
	r.Fields = []wire.Field{{Name: "a"}}
	c.Check(r.bounded(), qt.DeepEquals, Record{Status: 201, Omitted: true})
}
