package agent

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
)

// Settings configures an agent.
type Settings struct {
	Name        string            `toml:"name"`
	Service     string            `toml:"service"`    // of the backend server beside the agent
	Domain      string            `toml:"domain"`     // failure domain
	Region      string            `toml:"region"`     // region of the failure domain
	Heartbeat   settings.Duration `toml:"heartbeat"`  // between heartbeats of the backend server
	StopGrace   settings.Duration `toml:"stop_grace"` // from the signal to stop until the process is killed
	MemoryMB    int               `toml:"memory_mb"`  // beyond which the process is killed
	LinkMbps    float64           `toml:"link_mbps"`  // of the VM's own link, in megabits a second
	Listen      Listen            `toml:"listen"`
	Backend     Backend           `toml:"backend"`
	Store       Store             `toml:"store"`
	RetryBudget RetryBudget       `toml:"retry_budget"`
}

// Listen holds the addresses that the agent serves.
type Listen struct {
	Callers    netip.AddrPort `toml:"callers"`    // HTTP of clients and of the backend server
	Links      netip.AddrPort `toml:"links"`      // other agents
	Ready      netip.AddrPort `toml:"ready"`      // whether the agent takes clients
	Heartbeats netip.AddrPort `toml:"heartbeats"` // of the backend server
	Metrics    netip.AddrPort `toml:"metrics"`
}

// Backend is the backend server beside the agent.
type Backend struct {
	Addr netip.AddrPort `toml:"addr"`
}

// Store is the store that holds configuration and members.
type Store struct {
	Addr   netip.AddrPort    `toml:"addr"`
	MinTTL settings.Duration `toml:"min_ttl"` // shortest lease
}

// RetryBudget bounds the repeated attempts of all agents at one service.
type RetryBudget struct {
	Share   float64 `toml:"share"`   // of the requests
	Reserve float64 `toml:"reserve"` // attempts that are allowed besides
}

// LoadSettings reads and checks a settings file; errors are of kind problem.Settings.
func LoadSettings(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, problem.Wrap(problem.Settings, err, file, "cannot be read", "name a settings file with --config")
	}
	return ParseSettings(file, b)
}

// ParseSettings checks the text of a settings file.
func ParseSettings(file string, b []byte) (Settings, error) {
	var s Settings
	if err := settings.Decode(file, b, &s); err != nil {
		return Settings{}, err
	}
	return s, s.check(file)
}

func (s *Settings) check(file string) error {
	for key, value := range map[string]string{"name": s.Name, "service": s.Service, "domain": s.Domain} {
		if value == "" {
			return refuse(file, key, value, "name it")
		}
	}
	for key, addr := range map[string]netip.AddrPort{
		"listen.callers": s.Listen.Callers, "listen.links": s.Listen.Links, "listen.ready": s.Listen.Ready,
		"listen.heartbeats": s.Listen.Heartbeats, "listen.metrics": s.Listen.Metrics, "backend.addr": s.Backend.Addr, "store.addr": s.Store.Addr,
	} {
		if !addr.IsValid() {
			return refuse(file, key, addr, "set it to an IP number and port")
		}
	}
	if s.MemoryMB <= 0 {
		return refuse(file, "memory_mb", s.MemoryMB, "set it to the memory that the process may use, in megabytes")
	}
	if s.LinkMbps <= 0 {
		return refuse(file, "link_mbps", s.LinkMbps, "set it to the speed of the VM's link in megabits a second")
	}
	for key, d := range map[string]time.Duration{
		"heartbeat": s.Heartbeat.Std(), "stop_grace": s.StopGrace.Std(), "store.min_ttl": s.Store.MinTTL.Std(),
	} {
		if d <= 0 {
			return refuse(file, key, d, "set it to a time above zero, such as 2s")
		}
	}
	return nil
}

func refuse(file, key string, value any, remedy string) error {
	return problem.New(problem.Settings, file, fmt.Sprintf("%s is %q", key, fmt.Sprint(value)), remedy)
}
