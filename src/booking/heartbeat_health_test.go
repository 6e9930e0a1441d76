package booking

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
)

// A backend server that tells its state is not taken down by calls of which the answers are lost: on hollins-valet's incident 32fa it went down and up four times in three seconds.
func TestToldHealth(t *testing.T) {
	tests := map[string]struct {
		events func(s *Server)
		want   bool
	}{
		"says that it is ready":        {func(*Server) {}, true},
		"answers are lost":             {func(s *Server) { loseAnswers(s, 20) }, true},
		"refuses one connection":       {func(s *Server) { s.recordRefusedConnection() }, true},
		"refuses two in a row":         {func(s *Server) { s.recordRefusedConnection(); s.recordRefusedConnection() }, false},
		"answers between two refusals": {func(s *Server) { s.recordRefusedConnection(); s.recordCall(true); s.recordRefusedConnection() }, true},
		"another incarnation": {func(s *Server) {
			s.recordRefusedConnection()
			s.recordRefusedConnection()
			s.SetInstance("i-2", 9, true)
		}, true},
		"same one soon after": {func(s *Server) {
			s.recordRefusedConnection()
			s.recordRefusedConnection()
			s.SetInstance("i-1", 9, true)
		}, false},
		"none known": {func(s *Server) { s.SetInstance("", 0, true) }, false},
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
