package drain

// Phase is a part of a planned stop.
type Phase int

// The phases of a planned stop, in order.
const (
	PhaseNone     Phase = iota // no stop has begun
	PhaseHandover              // callers are still sent here
	PhaseFinish                // calls in flight end; a call is taken only if it ends in time
	PhaseRefuse                // calls in flight are answered by this process
	PhaseKill                  // connections are reset
)

var phaseNames = [...]string{"none", "handover", "finish", "refuse", "kill"}

// String returns the name of the phase, for logs.
func (p Phase) String() string { return phaseNames[p] }
