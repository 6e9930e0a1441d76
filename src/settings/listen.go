package settings

import "net/netip"

// Listen holds the addresses a daemon listens on.
type Listen struct {
	Proxy      netip.AddrPort `toml:"proxy"`       // callers' HTTP
	Control    netip.AddrPort `toml:"control"`     // UDP probes and TCP links
	Admin      netip.AddrPort `toml:"admin"`       // health, metrics, status
	AdminToken string         `toml:"admin_token"` // asked of every admin request when set
}
