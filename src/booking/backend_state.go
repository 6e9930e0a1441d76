package booking

import "time"

// SetInstance sets the only incarnation that may run calls, the number of calls that it runs concurrently (0 for no change) and whether it accepts calls. An empty instance means that none is known.
func (s *Server) SetInstance(instance string, slots int, up bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := instance != s.instance
	s.instance = instance
	if slots > 0 && slots != s.core.Slots {
		s.stepLocked(Configure{Queue: s.limits.Queue, QueueWait: s.limits.QueueWait.Std(), Slots: slots})
	}
	state := HealthDown
	if up && instance != "" {
		state = HealthUp
	}
	if changed {
		s.health = healthTracker{state: s.health.state}
	}
	s.lastProbe = state
	s.setHealthLocked(s.health.evaluate(s.Now(), state))
}

// ConfigureBackend sets the maximum number of connections to the backend server and its health path; zero values change nothing.
func (s *Server) ConfigureBackend(connections int, healthPath string) {
	s.init()
	if connections > 0 {
		s.pool.setMax(connections)
	}
	if healthPath != "" {
		s.mu.Lock()
		s.Backend.HealthPath = healthPath
		s.mu.Unlock()
	}
}

// Instance returns the only incarnation that may run calls, empty for any.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// handleMisdirected marks the backend server down after an incarnation other than the expected one answered at its address.
func (s *Server) handleMisdirected(instance string) {
	s.Log.Info("answer from an unexpected instance", "reason", "421", "meant", instance)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == instance {
		s.instance, s.lastProbe = "", HealthDown
		s.setHealthLocked(HealthDown)
	}
}

// DrainAfter refuses new calls as not run after the grace period.
func (s *Server) DrainAfter(grace time.Duration) {
	s.init()
	s.step(Drain{Grace: grace})
	s.Log.Info("draining", "reason", "asked to leave", "grace", grace.String())
}

// Resume ends a drain, for a new incarnation of the backend server.
func (s *Server) Resume() {
	s.init()
	s.step(Resume{})
}
