package dispatch

import "time"

// speedFactor returns how many times as long as usual work is expected to take at the server now, 1
// if it reports no speed. An old report counts less, by what the service's memory has learned of
// reports that old.
func (s *server) speedFactor(now time.Time) float64 {
	return s.speed.Factor(now, s.speedMemory)
}

// atCurrentSpeed returns how long work that takes the given time at usual speed is expected to take
// at the server now.
func (s *server) atCurrentSpeed(now time.Time, usual time.Duration) time.Duration {
	return s.speed.Expected(now, usual, s.speedMemory)
}

// serviceTime returns how long a call of a route is expected to run at the server now, 0 if that is
// unknown.
func (s *server) serviceTime(now time.Time, route string) time.Duration {
	return s.atCurrentSpeed(now, s.serviceTimes[route])
}

// atUsualSpeed returns how long something that took the given time at the server would have taken
// at usual speed. A server that is slow because of its VM and says so is no outlier.
func (s *server) atUsualSpeed(now time.Time, took time.Duration) time.Duration {
	if f := s.speedFactor(now); f > 1 {
		return time.Duration(float64(took) / f)
	}
	return took
}
