package fleetmodel

import "time"

// Noise is what other users of the machines do to the speed of a service's servers.
type Noise struct {
	Share  float64       // of the servers that are affected
	Factor float64       // how many times as long work takes in half of the periods, at random
	Period time.Duration // between two changes of a server's speed
	Told   bool          // all servers of the service tell their current speed in their answers
}
