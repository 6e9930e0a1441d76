package registry

import (
	"net/netip"
	"time"
)

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	Instance  string // ID of the incarnation
	Addr      netip.AddrPort
	Service   string
	Domain    string
	Slots     int
	Leaving   bool
	Sequence  uint64        // grows with each heartbeat of an incarnation
	StartedAt time.Time     // start of the incarnation
	ColdStart time.Duration // for which it stays slow after its start
}
