package settings

import "net/netip"

// Store tells where the platform's key-value service is.
type Store struct {
	Addr    netip.AddrPort `toml:"addr"`
	Prefix  string         `toml:"prefix"`  // put before every key
	Timeout Duration       `toml:"timeout"` // longest wait for an answer
}
