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

// String returns the state's name as log lines show it.
func (h HealthState) String() string {
	switch h {
	case HealthUp:
		return "up"
	case HealthDown:
		return "down"
	case HealthDraining:
		return "draining"
	}
	return "unknown"
}
