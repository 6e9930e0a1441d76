package settings

import (
	"net/netip"
	"time"
)

// Defaults of keys that a settings file leaves out.
const (
	DefaultSlots        = 12
	DefaultConnections  = 120
	DefaultStoreTimeout = 2 * time.Second
	DefaultStopGrace    = 30 * time.Second
	DefaultDrainNews    = time.Second
)

// Default returns the settings that a file starts from.
func Default() Settings {
	return Settings{
		Profile:   ProfileFast,
		StopGrace: Duration(DefaultStopGrace),
		DrainNews: Duration(DefaultDrainNews),
		Listen: Listen{
			Admin: netip.MustParseAddrPort("127.0.0.1:0"),
		},
		Backend: Backend{Slots: DefaultSlots, Connections: DefaultConnections, HealthPath: "/health"},
		Store:   Store{Prefix: "yuccaport/", Timeout: Duration(DefaultStoreTimeout)},
		Log:     Log{Format: "json"},
	}
}
