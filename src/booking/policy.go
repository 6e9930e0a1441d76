package booking

// Policy selects the order in which queued calls with an objective get slots, and which of them are
// refused when not all can be in time.
type Policy string

// Policies.
const (
	PolicyPriority Policy = "priority" // by priority, then by the latest start that meets the objective; the default
	PolicyValue    Policy = "value"    // by priority, then by value per slot second, see plan
)

// IsValid reports whether p is empty, which means PolicyPriority, or the name of a policy.
func (p Policy) IsValid() bool { return p == "" || p == PolicyPriority || p == PolicyValue }
