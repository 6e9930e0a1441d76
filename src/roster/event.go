package roster

import (
	"net/netip"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Event is what happens to a Core: Tick, Received, ReadyChanged, LeaveAsked, StopAsked, Asked, Exchanged, SeedsRead or DomainsRead.
type Event interface{ isEvent() }

// Tick tells that time has passed.
type Tick struct {
	Version uint64 `json:"version"` // configuration version in force here
}

// Received is a datagram that has arrived.
type Received struct {
	From  netip.AddrPort `json:"from"`
	Size  int            `json:"size"` // bytes
	Probe wire.Probe     `json:"probe"`
}

// ReadyChanged tells whether this member takes requests.
type ReadyChanged struct {
	Ready bool `json:"ready"`
}

// LeaveAsked begins a planned stop of this member.
type LeaveAsked struct{}

// StopAsked ends a planned stop of this member.
type StopAsked struct{}

// Asked is a roster exchange that a peer has begun.
type Asked struct {
	Request wire.RosterRequest `json:"request"`
}

// Exchanged is the end of a roster exchange that this member began.
type Exchanged struct {
	Peer    uint64             `json:"peer"`
	Request wire.RosterRequest `json:"request"`
	Reply   wire.RosterReply   `json:"reply"`
	Failed  bool               `json:"failed"`
}

// SeedsRead is the answer of the store to a ReadSeeds.
type SeedsRead struct {
	Domain   string     `json:"domain"`
	Revision uint64     `json:"revision"` // 0 when there is no record
	Seeds    wire.Seeds `json:"seeds"`
	Failed   bool       `json:"failed"`
	Conflict bool       `json:"lost"` // another daemon's write came before this one's WriteSeeds
}

// DomainsRead is the answer of the store to a ReadDomains.
type DomainsRead struct {
	Revision uint64           `json:"revision"` // 0 when there is no record
	Index    wire.SeedDomains `json:"index"`
	Failed   bool             `json:"failed"`
}

func (Tick) isEvent()         {}
func (Received) isEvent()     {}
func (ReadyChanged) isEvent() {}
func (LeaveAsked) isEvent()   {}
func (StopAsked) isEvent()    {}
func (Asked) isEvent()        {}
func (Exchanged) isEvent()    {}
func (SeedsRead) isEvent()    {}
func (DomainsRead) isEvent()  {}
