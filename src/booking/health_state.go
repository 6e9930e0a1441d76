package booking

// HealthState is the state of the backend server.
type HealthState uint8

// The health states.
const (
	HealthUnknown HealthState = iota // not probed yet
	HealthUp
	HealthDown
	HealthDraining // takes no new calls of its own will
)
