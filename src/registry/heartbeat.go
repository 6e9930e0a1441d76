package registry

import (
	"net/netip"
	"time"
)

// Heartbeat is a backend server's report of its own state.
type Heartbeat struct {
	Instance  string // ID of the incarnation
	Addr      netip.AddrPort
	Service   string
	Domain    string
	Slots     int
	Leaving   bool
	Sequence  uint64        // increases with each heartbeat of an incarnation
	StartedAt time.Time     // start of the incarnation
	ColdStart time.Duration // for which the backend server stays slow after its start
}
