package booking

// HealthState is the health of the backend server.
type HealthState uint8

// New calls are admitted or queued only in HealthUp. A change to HealthDown also refuses the queued calls.
const (
	HealthUnknown HealthState = iota // no probe or heartbeat yet
	HealthUp
	HealthDown
	HealthDraining // the backend server reports that it is draining
)

// String returns the name of the state used in log lines.
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
