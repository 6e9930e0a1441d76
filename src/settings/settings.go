package settings

import (
	"net/netip"

	"github.com/yuccaport/yuccaport/src/document"
)

// Duration is a duration written as "250ms".
type Duration = document.Duration

// Settings is everything a daemon is told at its start.
type Settings struct {
	Service  string           `toml:"service"` // service of the backend server beside this daemon
	Domain   string           `toml:"domain"`  // failure domain
	Region   string           `toml:"region"`
	Profile  Profile          `toml:"profile"`
	Insecure bool             `toml:"insecure"` // allows links without keys on addresses other than loopback
	Listen   Listen           `toml:"listen"`
	Backend  Backend          `toml:"backend"`
	Store    Store            `toml:"store"`
	Peers    []netip.AddrPort `toml:"peers"` // control addresses tried when the store is down
	Keys     Keys             `toml:"keys"`
	Log      Log              `toml:"log"`
}

// Listen holds the addresses a daemon listens on.
type Listen struct {
	Proxy   netip.AddrPort `toml:"proxy"`   // callers' HTTP
	Control netip.AddrPort `toml:"control"` // UDP probes and TCP links
	Admin   netip.AddrPort `toml:"admin"`   // health, metrics, status
}

// Backend describes the backend server beside a daemon.
type Backend struct {
	Addr        netip.AddrPort `toml:"addr"`
	Slots       int            `toml:"slots"`       // requests it runs at once
	Connections int            `toml:"connections"` // connections it takes
	HealthPath  string         `toml:"health_path"`
}

// Store tells where the platform's key-value service is.
type Store struct {
	Addr    netip.AddrPort `toml:"addr"`
	Prefix  string         `toml:"prefix"` // put before every key
	Timeout Duration       `toml:"timeout"`
}

// Keys names the PEM files for mutual TLS between daemons.
type Keys struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Log sets how a daemon logs.
type Log struct {
	Format    string `toml:"format"`    // json or console
	Verbosity int    `toml:"verbosity"` // 0 for events, 1 adds a line for each decision
}
