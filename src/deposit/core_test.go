package deposit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// timedEvent is an event and the core's expected reaction.
type timedEvent struct {
	delay time.Duration // since the previous event
	event Event
	want  string // of the first action: its kind, or decision and reason, or for Close the reason
}

// describe summarizes the first action for comparison with timedEvent.want.
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

// TestCoreRefusals checks that claims are refused while the write budget is spent, the store fails, the clock is wrong or the slot is full, and that a holder neither confirms nor ends another holder's claim.
func TestCoreRefusals(t *testing.T) {
	arrived := func(call uint64) Event {
		return Arrived{Call: call, Service: "s", Key: string(rune('a' + call)), Fingerprint: 7}
	}
	missing := func(call uint64) Event { return SlotRead{Call: call, Result: ResultMissing} }
	start := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	// Only the holder differs from the ID of the claim that is open in the case below.
	foreignClaim := Claim{ID: wire.ClaimID{Holder: 2, Sequence: uint64(start.UnixNano()) + 1}, Digest: keyDigest("s", "b")}
	fullSlot := wire.ClaimSlot{Claims: []wire.Claim{{Body: make([]byte, maxSlotSize)}}}
	tests := map[string][]timedEvent{
		"budget": {
			{0, arrived(1), "read_slot"},
			{0, missing(1), "swap_slot"},
			{0, SlotSwapped{Call: 1, Result: ResultOK, Revision: 1}, "granted: written"},
			{0, arrived(2), "read_slot"},
			{0, arrived(3), "not_run: budget of store writes spent"},
			{2 * time.Second, arrived(4), "not_run: budget of store writes spent"}, // calls 1 and 2 have reserved the rest
			{0, SlotRead{Call: 2, Result: ResultUnavailable}, "not_run: store unavailable"},
			{maxOpenTime, arrived(5), "read_slot"},
		},
		"store fails": {
			{0, arrived(1), "read_slot"},
			{0, SlotRead{Call: 1, Result: ResultUnavailable}, "not_run: store unavailable"},
			{0, arrived(2), "not_run: store failed a moment ago"},
			{initialOpenTime, arrived(3), "read_slot"},
			{0, SlotRead{Call: 3, Result: ResultUnavailable}, "not_run: store unavailable"},
			{initialOpenTime / 2, arrived(4), "not_run: store failed a moment ago"},
			{2 * initialOpenTime, arrived(5), "read_slot"},
			{0, missing(5), "swap_slot"},
			{0, arrived(6), "read_slot"},
		},
		"holder's clock ahead":  {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultMissing, Skew: -maxSkew - 1}, "not_run: clock differs from the store's"}},
		"holder's clock behind": {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultMissing, Skew: maxSkew + 1}, "not_run: clock differs from the store's"}},
		"clock within bounds":   {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultMissing, Skew: maxSkew}, "swap_slot"}},
		"slot full":             {{0, arrived(1), "read_slot"}, {0, SlotRead{Call: 1, Result: ResultOK, Revision: 1, Slot: fullSlot}, "not_run: slot full"}},
		"another holder's claim": {
			{0, arrived(1), "read_slot"},
			{0, missing(1), "swap_slot"},
			{0, SlotSwapped{Call: 1, Result: ResultOK, Revision: 1}, "granted: written"},
			{0, Ended{Call: 2, Claim: foreignClaim}, "claim not open here"},
			{0, Confirming{Call: 3, Claim: foreignClaim}, "claim not open here"},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core := newHolder(1, 0).core
			core.WritesPerSecond = 4
			now := start
			fullSlot.Claims[0].At = now.UnixMilli()
			for i, step := range steps {
				now = now.Add(step.delay)
				c.Assert(describe(core.Step(now, step.event)), qt.Equals, step.want, qt.Commentf("event %d", i))
			}
		})
	}
}

// TestRecordLimitSize checks that fields and body are kept up to MaxRecordSize together and omitted above it.
func TestRecordLimitSize(t *testing.T) {
	c := qt.New(t)
	r := Record{Status: 201, Body: make([]byte, MaxRecordSize)}
	c.Check(r.limitSize(), qt.DeepEquals, r)
	r.Fields = []wire.Field{{Name: "a"}}
	c.Check(r.limitSize(), qt.DeepEquals, Record{Status: 201, Omitted: true})
}
