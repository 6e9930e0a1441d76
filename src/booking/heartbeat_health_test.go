package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
)

// A backend server that reports its state by heartbeats is not taken down by lost answers.
// Otherwise, lost answers could take it down and up repeatedly: in one incident, four times in three seconds.
func TestHeartbeatHealth(t *testing.T) {
	tests := map[string]struct {
		events func(s *Server)
		want   bool
	}{
		"heartbeat reports ready":                       {func(*Server) {}, true},
		"lost answers":                                  {func(s *Server) { loseAnswers(s, 20) }, true},
		"one failed connection attempt":                 {func(s *Server) { s.recordConnectFailure() }, true},
		"two failed connection attempts":                {func(s *Server) { s.recordConnectFailure(); s.recordConnectFailure() }, false},
		"answer between two failed connection attempts": {func(s *Server) { s.recordConnectFailure(); s.recordCallOutcome(true); s.recordConnectFailure() }, true},
		"another instance": {func(s *Server) {
			s.recordConnectFailure()
			s.recordConnectFailure()
			s.SetInstance("i-2", 9, true)
		}, true},
		"same instance soon after": {func(s *Server) {
			s.recordConnectFailure()
			s.recordConnectFailure()
			s.SetInstance("i-1", 9, true)
		}, false},
		"empty instance": {func(s *Server) { s.SetInstance("", 0, true) }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			s := &Server{UsesHeartbeats: true, Backend: settings.Backend{Slots: 9, Connections: 9}, Now: func() time.Time { return now }}
			s.SetInstance("i-1", 9, true)
			tc.events(s)
			qt.Assert(t, s.Healthy(), qt.Equals, tc.want)
		})
	}
}

func loseAnswers(s *Server, n int) {
	for range n {
		s.recordCallOutcome(false)
	}
}
