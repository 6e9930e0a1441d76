package roster

import (
	"net/netip"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Action is an output of a Core: Send, Ahead, ViewChanged, Changed, Alarm, Exchange, Answer, ReadSeeds, WriteSeeds, ReadDomains or WriteDomains.
type Action interface{ isAction() }

// Send requests that a datagram be sent.
type Send struct {
	To    netip.AddrPort `json:"to"`
	Probe wire.Probe     `json:"probe"`
}

// Ahead reports that a peer holds a later configuration version.
type Ahead struct {
	Peer    link.Peer `json:"peer"`
	Version uint64    `json:"version"`
}

// ViewChanged reports that Core.View has changed.
type ViewChanged struct {
	Digest uint64 `json:"digest"` // see View; equal digests do not mean equal views
}

// Changed reports that another member joined or changed its state. A member first seen dead is not reported.
type Changed struct {
	ID     uint64           `json:"id"`
	Addr   netip.AddrPort   `json:"addr"`
	Domain string           `json:"domain"`
	State  wire.MemberState `json:"state"`
	Reason Reason           `json:"reason"`
}

// Alarm reports that members of one failure domain were lost since its last alarm.
type Alarm struct {
	Domain    string   `json:"domain"`
	Died      int      `json:"died"`   // members lost since the last alarm, without those that have come back
	Remaining int      `json:"left"`   // members of the failure domain that are not dead, not counting this one
	Sample    []uint64 `json:"sample"` // IDs of some of the dead members
}

// Exchange requests a roster exchange with a peer; its result is an Exchanged event.
type Exchange struct {
	Peer    link.Peer          `json:"peer"`
	Request wire.RosterRequest `json:"request"`
}

// Answer is the reply to the Asked event.
type Answer struct {
	Reply wire.RosterReply `json:"reply"`
}

// ReadSeeds requests a read of the seed record of a failure domain.
type ReadSeeds struct {
	Domain string `json:"domain"`
}

// WriteSeeds requests a compare-and-swap of the seed record of a failure domain.
type WriteSeeds struct {
	Domain   string     `json:"domain"`
	Revision uint64     `json:"revision"` // that the record must still have; 0 if there must be none
	Seeds    wire.Seeds `json:"seeds"`
}

// ReadDomains requests a read of the index of failure domains.
type ReadDomains struct{}

// WriteDomains requests a compare-and-swap of the index of failure domains.
type WriteDomains struct {
	Revision uint64           `json:"revision"` // that the index must still have; 0 if there must be none
	Index    wire.SeedDomains `json:"index"`
}

func (Send) isAction()         {}
func (Ahead) isAction()        {}
func (ViewChanged) isAction()  {}
func (Changed) isAction()      {}
func (Alarm) isAction()        {}
func (Exchange) isAction()     {}
func (Answer) isAction()       {}
func (ReadSeeds) isAction()    {}
func (WriteSeeds) isAction()   {}
func (ReadDomains) isAction()  {}
func (WriteDomains) isAction() {}
