package roster

import (
	"net/netip"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Action is what a Core decides: Send, Ahead, ViewChanged, Changed, Alarm, Exchange, Answer, ReadSeeds, WriteSeeds, ReadDomains or WriteDomains.
type Action interface{ isAction() }

// Send asks for a datagram to be sent.
type Send struct {
	To    netip.AddrPort `json:"to"`
	Probe wire.Probe     `json:"probe"`
}

// Ahead tells that a peer holds a later configuration version.
type Ahead struct {
	Peer    link.Peer `json:"peer"`
	Version uint64    `json:"version"`
}

// ViewChanged tells that View gives another answer than before.
type ViewChanged struct {
	Digest uint64 `json:"digest"`
}

// Changed tells that a member has come, changed its state or gone.
type Changed struct {
	ID     uint64           `json:"id"`
	Addr   netip.AddrPort   `json:"addr"`
	Domain string           `json:"domain"`
	State  wire.MemberState `json:"state"`
	Reason Reason           `json:"reason"`
}

// Alarm names members of one failure domain that have died at about the same time.
type Alarm struct {
	Domain    string   `json:"domain"`
	Died      int      `json:"died"`   // members since the last alarm
	Remaining int      `json:"left"`   // members of the failure domain that are not dead
	Sample    []uint64 `json:"sample"` // a few of their IDs
}

// Exchange asks for a roster exchange with a peer, answered by Exchanged.
type Exchange struct {
	Peer    link.Peer          `json:"peer"`
	Request wire.RosterRequest `json:"request"`
}

// Answer ends the exchange of the Asked event.
type Answer struct {
	Reply wire.RosterReply `json:"reply"`
}

// ReadSeeds asks the store for the seed record of a failure domain.
type ReadSeeds struct {
	Domain string `json:"domain"`
}

// WriteSeeds asks the store to swap the seed record of a failure domain.
type WriteSeeds struct {
	Domain   string     `json:"domain"`
	Revision uint64     `json:"revision"`
	Seeds    wire.Seeds `json:"seeds"`
}

// ReadDomains asks the store for the list of failure domains.
type ReadDomains struct{}

// WriteDomains asks the store to swap the list of failure domains.
type WriteDomains struct {
	Revision uint64           `json:"revision"`
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
