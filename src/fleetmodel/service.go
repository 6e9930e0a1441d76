package fleetmodel

// Service is a service and its backend servers, each beside an agent of its own.
type Service struct {
	Name    string
	Servers int
	Slots   int       // of each server
	Speeds  []float64 // of the servers in turn, empty for 1
}
