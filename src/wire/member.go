package wire

import "net/netip"

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:shim netip.AddrPort as:string using:addrPortToString/addrPortFromString witherr:true
//msgp:tuple Member RosterRequest RosterReply Seeds Seed SeedDomains
//msgp:limit arrays:4096 maps:0

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
	Ready       bool           `msg:"ready"`                       // backend server beside it answers and the daemon holds a configuration
	StartedAt   int64          `msg:"started_at"`                  // milliseconds since the Unix epoch, for the cold start ramp
	LinkMbps    uint32         `msg:"link_mbps" json:",omitempty"` // of the VM's own link, 0 when unknown
	Version     string         `msg:"-" json:",omitempty"`         // of the backend server's software, empty when unknown; encoded by MemberDetails, since older builds expect a tuple of this length
}

// MemberDetails follows the Member in an entry of the registry; older builds ignore it.
type MemberDetails struct {
	Version string `msg:"version"`
}

// RosterRequest asks a peer for what it knows of the members, or tells it what it lacks.
type RosterRequest struct {
	Full    bool     `msg:"full"`    // asks for all members, in pages
	After   uint64   `msg:"after"`   // last ID of the page before
	Buckets []uint64 `msg:"buckets"` // the asker's digest of each bucket
	Want    []uint64 `msg:"want"`    // IDs asked for
	Members []Member `msg:"members"` // members that the peer lacks
	Dead    []Brief  `msg:"dead"`    // members that the peer believes alive
}

// RosterReply answers a RosterRequest.
type RosterReply struct {
	Differ  uint64   `msg:"differ"` // one bit for each bucket whose digest differs
	Briefs  []Brief  `msg:"briefs"` // all members not dead in those buckets
	Members []Member `msg:"members"`
	Dead    []Brief  `msg:"dead"` // members that the asker believes alive
	More    bool     `msg:"more"` // another page follows
}

// Seeds is the seed record of one failure domain in the store.
type Seeds struct {
	Members []Seed `msg:"members"`
}

// Seed is a member that a daemon without peers asks first.
type Seed struct {
	ID   uint64         `msg:"id"`
	Addr netip.AddrPort `msg:"addr"`
}

// SeedDomains lists the failure domains that have a seed record.
type SeedDomains struct {
	Domains []string `msg:"domains"`
}
