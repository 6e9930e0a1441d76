package fleetmodel

import "time"

// Service is a service and its backend servers, each beside an agent of its own.
type Service struct {
	Name     string
	Servers  int
	Slots    int           // of each server
	Speeds   []float64     // of the servers in turn, empty for 1
	Downtime time.Duration // of a server after a crash
	Noise    Noise         // of the machines that the servers share with others
	Limits   []float64     // calls a second that the servers name in turn in their answers, 0 for no limit; empty for none
}
