package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Uploads must not pile up on a VM whose slow link is already full of other bodies. Such an upload is refused
// before its body arrives, so that it can go to another server, unless its patience covers the delay or is 0 (no bound).
func TestWouldRefuseInboundDelay(t *testing.T) {
	tests := map[string]struct {
		inboundDelay time.Duration
		patience     int64 // milliseconds
		refused      bool
	}{
		"link free":                {0, 20, false},
		"link full":                {300 * time.Millisecond, 20, true},
		"link full, long patience": {300 * time.Millisecond, 400, false},
		"no other server":          {300 * time.Millisecond, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Server{
				UsesHeartbeats: true, Service: "jobrecords", Backend: settings.Backend{Slots: 9, Connections: 9},
				InboundDelay: func() time.Duration { return tc.inboundDelay },
			}
			s.SetInstance("i-1", 9, true)
			r, refused := s.wouldRefuse(wire.CallHead{Route: "photo", BodyLength: 60 << 10, ObjectiveMS: 800, TimeoutMS: 3000, PatienceMS: tc.patience}, true)
			qt.Assert(t, refused, qt.Equals, tc.refused, qt.Commentf("%+v", r))
			if refused {
				qt.Assert(t, r, qt.Equals, wire.Refusal{Reason: wire.ReasonQueueFull, RetryAfterMS: 300})
			}
		})
	}
}
