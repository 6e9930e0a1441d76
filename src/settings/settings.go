package settings

import (
	"net/netip"

	"github.com/yuccaport/yuccaport/src/document"
)

// Duration is a duration written as "250ms".
type Duration = document.Duration

// Settings is everything a daemon is told at its start.
type Settings struct {
	Service   string           `toml:"service"`    // service of the backend server beside this daemon
	Domain    string           `toml:"domain"`     // failure domain
	Region    string           `toml:"region"`     // region of the failure domain
	Profile   Profile          `toml:"profile"`    // fast or thrifty
	Insecure  bool             `toml:"insecure"`   // allows links without keys on addresses other than loopback
	StopGrace Duration         `toml:"stop_grace"` // longest wait for requests in flight at a planned stop
	DrainNews Duration         `toml:"drain_news"` // time a leaving daemon still takes calls while the news travels
	Peers     []netip.AddrPort `toml:"peers"`      // control addresses tried when the store is down
	Listen    Listen           `toml:"listen"`
	Backend   Backend          `toml:"backend"`
	Store     Store            `toml:"store"`
	Keys      Keys             `toml:"keys"`
	Log       Log              `toml:"log"`
}
