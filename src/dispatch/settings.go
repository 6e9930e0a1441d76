package dispatch

import "time"

// Selection names the algorithm that chooses the member to which a call is sent.
type Selection string

// The selection algorithms; all but the first are baselines for measurements.
const (
	SelectTwoChoices    Selection = "two_choices" // power of two choices within locality tiers; lowest expected latency for calls with an objective
	SelectRoundRobin    Selection = "round_robin"
	SelectLeastInFlight Selection = "least_in_flight"
)

// Settings configures the core; WithDefaults sets the zero fields.
type Settings struct {
	Selection            Selection     `json:"selection,omitempty"`
	Timeout              time.Duration `json:"timeout_ns,omitempty"`         // of an attempt whose route sets none
	Deadline             time.Duration `json:"deadline_ns,omitempty"`        // of a call whose route sets none, from its start
	RetryShare           float64       `json:"retry_share,omitempty"`        // tokens that each call adds to the retry budget; a retry or hedge takes one, unless the call has an objective and none of its attempts was refused as possibly run or as shed
	SharedRetryBurst     float64       `json:"shared_reserve,omitempty"`     // capacity of the retry budgets of one service at all daemons together, divided equally among them; 0 to use RetryBurst at each
	RetryBurst           float64       `json:"retry_reserve,omitempty"`      // capacity of the retry budget of one service at one daemon
	NotReadyRetryAfter   time.Duration `json:"not_ready_retry_ns,omitempty"` // retry-after of a call refused for lack of a server or a configuration
	SlowStart            time.Duration `json:"cold_start_ns,omitempty"`      // time in which a new member's share of calls rises to the full one
	LoadHalfLife         time.Duration `json:"load_half_life_ns,omitempty"`  // half-life of the load that other daemons cause at a member, after its report
	MaxEjectedShare      float64       `json:"aside_share,omitempty"`        // largest share of a service's usable members that may be ejected at a time
	EjectionTime         time.Duration `json:"aside_time_ns,omitempty"`      // of a first ejection; it doubles with each further one
	MaxEjectionTime      time.Duration `json:"aside_max_time_ns,omitempty"`
	StopGrace            time.Duration `json:"stop_grace_ns,omitempty"`           // of a planned stop of a daemon; 0 for none
	DepartureTime        time.Duration `json:"departure_time_ns,omitempty"`       // after which a server that has refused a call as leaving or replaced, and that tables show in use, is tried again; it doubles with each further refusal, up to MaxEjectionTime
	LatencyFactor        float64       `json:"latency_factor,omitempty"`          // multiple of the service's median latency beyond which a member is an outlier
	MaxCalls             int           `json:"max_calls,omitempty"`               // maximum number of attempts at one daemon that wait for the head of an answer or read a short answer; the recording of payments' outcomes counts too
	PreferDomain         bool          `json:"prefer_domain,omitempty"`           // calls with an objective stay in their failure domain while it is expected to answer in time, see otherDomainPenalty
	PreferDomainIfShared bool          `json:"prefer_domain_if_shared,omitempty"` // PreferDomain once a backend server has reported the speed of its VM, which it then shares with others, as calls share the links
	LinkRate             float64       `json:"link_rate,omitempty"`               // of a VM's network link in bytes per second, 0 to ignore transfer times
	ExposureShare        float64       `json:"max_rollout_share,omitempty"`       // of the calls to a service under a rollout order that a bad version may get at most
}

// WithDefaults returns the settings with defaults for zero fields; SharedRetryBurst, LinkRate and
// ExposureShare have none.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Selection, SelectTwoChoices)
	setDefault(&s.Timeout, 2*time.Second)
	setDefault(&s.Deadline, 5*time.Second)
	setDefault(&s.RetryShare, 0.1)
	setDefault(&s.RetryBurst, 10)
	setDefault(&s.NotReadyRetryAfter, time.Second)
	setDefault(&s.SlowStart, 10*time.Second)
	setDefault(&s.LoadHalfLife, time.Second)
	setDefault(&s.MaxEjectedShare, 0.5)
	setDefault(&s.EjectionTime, time.Second)
	setDefault(&s.MaxEjectionTime, 30*time.Second)
	setDefault(&s.DepartureTime, 5*time.Second)
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
