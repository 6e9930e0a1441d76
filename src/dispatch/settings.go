package dispatch

import "time"

// Selection names how a member is chosen among the usable ones.
type Selection string

// The selections; all but the first are baselines for measurements.
const (
	SelectTwoChoices    Selection = "two_choices"
	SelectRoundRobin    Selection = "round_robin"
	SelectLeastInFlight Selection = "least_in_flight"
)

// Settings sets how the core decides; a zero field takes its default.
type Settings struct {
	Selection       Selection     `json:"selection,omitempty"`
	Timeout         time.Duration `json:"timeout_ns,omitempty"`         // of an attempt whose route states none
	Deadline        time.Duration `json:"deadline_ns,omitempty"`        // of a call whose route states none
	RetryShare      float64       `json:"retry_share,omitempty"`        // retries and hedges a call earns
	SharedReserve   float64       `json:"shared_reserve,omitempty"`     // retries that all daemons may have at once together, 0 for RetryReserve at each
	RetryReserve    float64       `json:"retry_reserve,omitempty"`      // retries a service may have at once
	NotReadyRetry   time.Duration `json:"not_ready_retry_ns,omitempty"` // retry-after of a call for which there is no server or no configuration
	SlowStart       time.Duration `json:"cold_start_ns,omitempty"`      // until a new member takes its full share
	LoadHalfLife    time.Duration `json:"load_half_life_ns,omitempty"`
	MaxEjectedShare float64       `json:"aside_share,omitempty"` // of a service's members
	EjectionTime    time.Duration `json:"aside_time_ns,omitempty"`
	MaxEjectionTime time.Duration `json:"aside_max_time_ns,omitempty"`
	LatencyFactor   float64       `json:"latency_factor,omitempty"` // times the service's median
	MaxCalls        int           `json:"max_calls,omitempty"`      // in flight in one daemon
	LinkRate        float64       `json:"link_rate,omitempty"`      // bytes a second that a VM's link carries, 0 for a link that costs no time
}

// WithDefaults returns the settings with every zero field set.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Selection, SelectTwoChoices)
	setDefault(&s.Timeout, 2*time.Second)
	setDefault(&s.Deadline, 5*time.Second)
	setDefault(&s.RetryShare, 0.1)
	setDefault(&s.RetryReserve, 10)
	setDefault(&s.NotReadyRetry, time.Second)
	setDefault(&s.SlowStart, 10*time.Second)
	setDefault(&s.LoadHalfLife, time.Second)
	setDefault(&s.MaxEjectedShare, 0.5)
	setDefault(&s.EjectionTime, time.Second)
	setDefault(&s.MaxEjectionTime, 30*time.Second)
	setDefault(&s.LatencyFactor, 3)
	setDefault(&s.MaxCalls, 4096)
	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
