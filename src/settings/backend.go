package settings

import "net/netip"

// Backend describes the backend server beside a daemon.
type Backend struct {
	Addr        netip.AddrPort `toml:"addr"`
	Slots       int            `toml:"slots"`       // requests it runs at once
	Connections int            `toml:"connections"` // connections it takes
	HealthPath  string         `toml:"health_path"` // answers 200 when the backend server takes work
}
