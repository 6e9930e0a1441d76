package roster

import (
	"net/netip"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Event is an input of a Core: Tick, Received, ReadyChanged, LeaveAsked, StopAsked, Asked, Exchanged, SeedsRead or DomainsRead.
type Event interface{ isEvent() }

// Tick is the periodic event that drives timers.
type Tick struct {
	Version uint64 `json:"version"` // configuration version in force here
}

// Received is a datagram that arrived.
type Received struct {
	From  netip.AddrPort `json:"from"`
	Size  int            `json:"size"` // bytes
	Probe wire.Probe     `json:"probe"`
}

// ReadyChanged states whether this member accepts requests.
type ReadyChanged struct {
	Ready bool `json:"ready"`
}

// LeaveAsked begins a planned stop: this member is leaving.
type LeaveAsked struct{}

// StopAsked ends a planned stop: this member is dead, which is final.
type StopAsked struct{}

// Asked is a request for a roster exchange from a peer.
type Asked struct {
	Request wire.RosterRequest `json:"request"`
}

// Exchanged is the result of a roster exchange that this member began.
type Exchanged struct {
	Peer    uint64             `json:"peer"`
	Request wire.RosterRequest `json:"request"`
	Reply   wire.RosterReply   `json:"reply"`
	Failed  bool               `json:"failed"`
}

// SeedsRead is the result of a ReadSeeds, or of a WriteSeeds that met a conflict.
type SeedsRead struct {
	Domain   string     `json:"domain"`
	Revision uint64     `json:"revision"` // 0 when there is no record
	Seeds    wire.Seeds `json:"seeds"`
	Failed   bool       `json:"failed"`
	Conflict bool       `json:"lost"` // result of a WriteSeeds that failed because another daemon had written the record
}

// DomainsRead is the result of a ReadDomains, or of a WriteDomains that met a conflict.
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
