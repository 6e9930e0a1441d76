package registry

import (
	"net/netip"
	"time"
)

// Heartbeat is a backend server's report of its own state.
type Heartbeat struct {
	Instance  string         // instance ID, which a restarted backend server may keep
	Addr      netip.AddrPort // address of the backend server
	Service   string
	Domain    string
	Version   string // of the backend server's software, empty if it is not reported
	Slots     int    // requests that the backend server runs at once
	Leaving   bool
	Sequence  uint64        // increases with each heartbeat of an incarnation
	StartedAt time.Time     // start of the incarnation
	ColdStart time.Duration // remaining time, counted from this heartbeat, for which the backend server is slow after its start
}
