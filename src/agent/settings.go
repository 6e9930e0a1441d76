package agent

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
)

// Settings configures an agent. Name, MemoryMB, Listen and Store.Addr are for the process that runs the agent; Heartbeat is validated but not used. A changed StopGrace takes effect without a restart; all other changes but those of Heartbeat need one.
type Settings struct {
	Name        string            `toml:"name"`        // of the agent, in its log lines
	Service     string            `toml:"service"`     // of the agent's backend server
	Domain      string            `toml:"domain"`      // failure domain
	Region      string            `toml:"region"`      // of the failure domain
	Heartbeat   settings.Duration `toml:"heartbeat"`   // interval at which the backend server sends heartbeats
	StopGrace   settings.Duration `toml:"stop_grace"`  // time from the stop signal until the agent's process is killed
	MemoryMB    int               `toml:"memory_mb"`   // memory above which the agent's process is killed
	Descriptors int               `toml:"descriptors"` // file descriptors that the process may use, 0 for no bound
	LinkMbps    float64           `toml:"link_mbps"`   // speed of the VM's link in megabits per second
	Listen      Listen            `toml:"listen"`
	Backend     Backend           `toml:"backend"`
	Store       Store             `toml:"store"`
	RetryBudget RetryBudget       `toml:"retry_budget"`
	Rollout     RolloutSettings   `toml:"rollout"`
	Revocation  Revocation        `toml:"revocation"`
	Quota       Quota             `toml:"quota"`
	Dispatch    Dispatch          `toml:"dispatch"`
	Admission   Admission         `toml:"admission"`
}

// Listen holds the addresses that the agent listens on.
type Listen struct {
	Callers    netip.AddrPort `toml:"callers"`    // requests of callers: the platform's clients and the backend server
	Links      netip.AddrPort `toml:"links"`      // links of other agents
	Ready      netip.AddrPort `toml:"ready"`      // readiness probes of the platform
	Heartbeats netip.AddrPort `toml:"heartbeats"` // heartbeats of the backend server
	Metrics    netip.AddrPort `toml:"metrics"`
}

// Backend is the agent's backend server.
type Backend struct {
	Addr           netip.AddrPort `toml:"addr"`
	ResetsWhenFull bool           `toml:"resets_when_full"` // a reset of a connection means that the backend server is full, not that it fails
	// DrainTime is the time from the acknowledgement that the backend server is leaving in which requests may still reach it, 0 for 2 s.
	DrainTime settings.Duration `toml:"drain_time"`
}

// Store is the key-value store that holds configuration and members.
type Store struct {
	Addr   netip.AddrPort    `toml:"addr"`
	MinTTL settings.Duration `toml:"min_ttl"` // shortest lease that the store grants
	// MaxStaleness is the longest time from the store's acknowledgement of a change until the agent acts on it; 0 for registry.DefaultMaxStaleness.
	MaxStaleness settings.Duration `toml:"max_staleness"`
}

// RetryBudget limits the retries and hedged requests of calls to one service, at all agents together; dispatch.Settings.RetryShare says which are exempt. The agents use only usedBudgetShare of Share and Reserve.
type RetryBudget struct {
	Share   float64 `toml:"share"`   // retries and hedged requests allowed, as a share of the calls; 0 for the default of dispatch
	Reserve float64 `toml:"reserve"` // retries and hedged requests allowed in a burst, divided equally among the agents; 0 for the default of dispatch at each agent
}

// Revocation bounds how long an agent that cannot learn of newer configurations accepts tenants' keys.
type Revocation struct {
	Time   settings.Duration `toml:"time"`   // without news from the store or from a reader of it
	Strict bool              `toml:"strict"` // refuse requests that need a key after Time; otherwise the keys in force stay accepted
}

// Quota states how strictly tenants' limits bind: in any Window, a tenant's requests must not
// exceed (rate x Window + burst) x (1 + Over) + Slack, over all agents.
type Quota struct {
	Window settings.Duration `toml:"window"`
	Over   float64           `toml:"over"`
	Slack  float64           `toml:"slack"`
}

// Dispatch configures the selection of backend servers.
type Dispatch struct {
	PreferDomain         bool `toml:"prefer_domain"`           // calls stay in their failure domain while an answer is expected in time there; for deployments where bytes between failure domains are costly
	PreferDomainIfShared bool `toml:"prefer_domain_if_shared"` // the same once a backend server has reported the speed of its VM
}

// Admission configures which calls the backend server gets under overload.
type Admission struct {
	Policy booking.Policy `toml:"policy"` // empty for booking.PolicyPriority
}

// LoadSettings reads and validates a settings file; errors are of kind problem.Settings.
func LoadSettings(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, problem.Wrap(problem.Settings, err, file, "cannot be read", "name a settings file with --config")
	}
	return ParseSettings(file, b)
}

// ParseSettings parses and validates the text of a settings file; file is its name in errors.
func ParseSettings(file string, b []byte) (Settings, error) {
	var s Settings
	if err := settings.Decode(file, b, &s); err != nil {
		return Settings{}, err
	}
	return s, s.validate(file)
}

func (s *Settings) validate(file string) error {
	for key, value := range map[string]string{"name": s.Name, "service": s.Service, "domain": s.Domain} {
		if value == "" {
			return settingsError(file, key, value, "set it to a name")
		}
	}
	for key, addr := range map[string]netip.AddrPort{
		"listen.callers": s.Listen.Callers, "listen.links": s.Listen.Links, "listen.ready": s.Listen.Ready,
		"listen.heartbeats": s.Listen.Heartbeats, "listen.metrics": s.Listen.Metrics, "backend.addr": s.Backend.Addr, "store.addr": s.Store.Addr,
	} {
		if !addr.IsValid() {
			return settingsError(file, key, addr, "set it to an IP number and port")
		}
	}
	if s.MemoryMB <= 0 {
		return settingsError(file, "memory_mb", s.MemoryMB, "set it to the memory that the process may use, in megabytes")
	}
	if s.Descriptors < 0 {
		return settingsError(file, "descriptors", s.Descriptors, "set it to the file descriptors that the process may use, or leave it out")
	}
	if s.LinkMbps <= 0 {
		return settingsError(file, "link_mbps", s.LinkMbps, "set it to the speed of the VM's link in megabits per second")
	}
	for key, d := range map[string]time.Duration{
		"heartbeat": s.Heartbeat.Std(), "stop_grace": s.StopGrace.Std(), "store.min_ttl": s.Store.MinTTL.Std(),
	} {
		if d <= 0 {
			return settingsError(file, key, d, "set it to a time above zero, such as 2s")
		}
	}
	if d := s.Backend.DrainTime.Std(); d < 0 {
		return settingsError(file, "backend.drain_time", d, "set it to a time above zero, such as 2s, or leave it out")
	}
	if d := s.Store.MaxStaleness.Std(); d < 0 {
		return settingsError(file, "store.max_staleness", d, "set it to a time above zero, such as 2s, or leave it out")
	}
	if d := s.Revocation.Time.Std(); d < 0 || d == 0 && s.Revocation.Strict {
		return settingsError(file, "revocation.time", d, "set it to a time above zero, such as 5s, or leave out the section revocation")
	}
	for key, value := range map[string]float64{"quota.window": s.Quota.Window.Std().Seconds(), "quota.over": s.Quota.Over, "quota.slack": s.Quota.Slack} {
		if !(value >= 0) || math.IsInf(value, 1) {
			return settingsError(file, key, value, "set it to a number of 0 or above, or leave out the section quota")
		}
	}
	if s.Quota.Window.Std() == 0 && (s.Quota.Over != 0 || s.Quota.Slack != 0) {
		return settingsError(file, "quota.window", s.Quota.Window.Std(), "set it to a time above zero, such as 5s, or leave out the section quota")
	}
	if p := s.Admission.Policy; !p.IsValid() {
		return settingsError(file, "admission.policy", p, fmt.Sprintf("set it to %q or %q, or leave out the section admission", booking.PolicyPriority, booking.PolicyValue))
	}
	return s.Rollout.validate(file)
}

func settingsError(file, key string, value any, remedy string) error {
	return problem.New(problem.Settings, file, fmt.Sprintf("%s is %q", key, fmt.Sprint(value)), remedy)
}
