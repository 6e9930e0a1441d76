package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
)

// A backend server that reports its state by heartbeats is not taken down by lost answers.
// In incident 32fa at hollins-valet, lost answers took one down and up four times in three seconds.
func TestHeartbeatHealth(t *testing.T) {
	tests := map[string]struct {
		events func(s *Server)
		want   bool
	}{
		"heartbeat reports ready":                {func(*Server) {}, true},
		"lost answers":                           {func(s *Server) { loseAnswers(s, 20) }, true},
		"one refused connection":                 {func(s *Server) { s.recordRefusedConnection() }, true},
		"two refused connections":                {func(s *Server) { s.recordRefusedConnection(); s.recordRefusedConnection() }, false},
		"answer between two refused connections": {func(s *Server) { s.recordRefusedConnection(); s.recordCall(true); s.recordRefusedConnection() }, true},
		"another incarnation": {func(s *Server) {
			s.recordRefusedConnection()
			s.recordRefusedConnection()
			s.SetInstance("i-2", 9, true)
		}, true},
		"same incarnation soon after": {func(s *Server) {
			s.recordRefusedConnection()
			s.recordRefusedConnection()
			s.SetInstance("i-1", 9, true)
		}, false},
		"no known incarnation": {func(s *Server) { s.SetInstance("", 0, true) }, false},
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
		s.recordCall(false)
	}
}
