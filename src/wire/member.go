package wire

import "net/netip"

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:shim netip.AddrPort as:string using:addrPortToString/addrPortFromString witherr:true
//msgp:tuple Member

// MemberState is the state of a member as the roster holds it.
type MemberState uint8

// The member states, in the order in which a later one overrides an earlier one at the same incarnation.
const (
	StateAlive MemberState = iota
	StateSuspect
	StateLeaving
	StateDead
)

// Member describes one daemon and the backend server beside it.
type Member struct {
	ID          uint64         `msg:"id"`          // drawn at random at each start of the daemon
	Addr        netip.AddrPort `msg:"addr"`        // control address: UDP probes and the TCP link
	Proxy       netip.AddrPort `msg:"proxy"`       // address on which callers speak HTTP
	Service     string         `msg:"service"`     // service of the backend server
	Domain      string         `msg:"domain"`      // failure domain
	Region      string         `msg:"region"`      // region of the failure domain
	Slots       uint16         `msg:"slots"`       // requests the backend server runs at once
	Incarnation uint32         `msg:"incarnation"` // raised by the member itself to refute a suspicion
	State       MemberState    `msg:"state"`
	Ready       bool           `msg:"ready"`      // backend server beside it answers and the daemon holds a configuration
	StartedAt   int64          `msg:"started_at"` // milliseconds since the Unix epoch, for the cold start ramp
}
