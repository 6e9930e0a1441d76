package booking

import "time"

// SetInstance sets the only instance that may run calls, the number of calls that it runs concurrently (0 for no change) and whether it accepts calls.
// If the instance stays the same, a report that it does not accept calls takes effect only once answerPrecedence has passed since the last answered call, unless a failure has been recorded since;
// a report that it accepts calls takes effect only once downRetryDelay has passed since failures took it down.
//
// An instance identifies one start of the backend server process; an empty one reports the backend server as down. A change of instance discards the recorded answers and failures.
func (s *Server) SetInstance(instance string, slots int, up bool) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := instance != s.instance
	if changed {
		s.replaceInstanceLocked(s.instance)
	}
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
	if instance != "" && instance != s.notices.instance && s.core.rate.limited {
		s.stepLocked(CallLimit{PerSecond: noLimit, NewInstance: true})
	}
	s.reportedHealth = state
	s.setHealthLocked(s.health.evaluate(s.Now(), state))
}

// HasAnswered reports whether an answer of the given instance has been read, so that a limit that
// it names is known.
func (s *Server) HasAnswered(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.known && s.notices.instance == instance
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

// Instance returns the only instance that may run calls. It is empty before the first SetInstance; calls may then run on any instance, but with UsesHeartbeats they are refused.
// SetInstance with an empty instance and an answer from an unexpected instance also clear it and report the backend server as down.
// After the latter, a call answered less than answerPrecedence ago can outweigh that report (see healthTracker.evaluate); calls may then run on any instance.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// handleMisdirected clears the instance and reports the backend server as down after an instance other than the expected one answered at its address.
// If another instance has been set since, it only logs the answer.
func (s *Server) handleMisdirected(expected string) {
	s.Log.Info("answer from an unexpected instance", "reason", "421", "meant", expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == expected {
		s.instance, s.reportedHealth = "", HealthDown
		s.setHealthLocked(HealthDown)
	}
}

// DrainAfter starts a drain: new calls are refused once the grace period has passed, while calls admitted or queued before still run. A second drain cannot postpone the first.
func (s *Server) DrainAfter(grace time.Duration) {
	s.init()
	s.mu.Lock()
	s.stepLocked(Drain{Grace: grace})
	s.crashes.left = s.instance
	s.mu.Unlock()
	s.Log.Info("draining", "reason", "asked to leave", "grace", grace.String())
}

// ExpectLeave records that the backend server has said that it is leaving, so that its end is no
// crash. It still gets calls.
func (s *Server) ExpectLeave() {
	s.init()
	s.mu.Lock()
	s.crashes.left = s.instance
	s.mu.Unlock()
}

// Resume ends a drain started by Drain or DrainAfter, or a leave, for a new instance of the backend server.
func (s *Server) Resume() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveBy = time.Time{}
	s.stepLocked(Resume{})
}
