package registry

import "github.com/yuccaport/yuccaport/src/wire"

// Event is an input of Core.
type Event interface{ isEvent() }

// Listed is a full listing of the watched keys.
type Listed struct {
	Items    []Item
	Revision uint64 // store revision up to which Items are complete
}

// Changed is the result of a watch.
type Changed struct {
	Items    []Item
	Revision uint64 // store revision up to which the changes are complete
}

// StoreLost reports that calls to the store fail.
type StoreLost struct{}

// StoreAnswered reports that the store, or a reader that is not cut off from it, has answered.
type StoreAnswered struct{}

// PeerReplied is a peer's reply, with its configuration already decompressed.
type PeerReplied struct {
	Reply         wire.RegistryReply
	Authoritative bool // the peer is the reader that this agent watches and is not cut off from the store, so its revision, and the deletions and this agent's own entry in its reply, are applied
}

// StartQueryEnded reports that a query of a new agent to a peer has ended, with or without a reply.
type StartQueryEnded struct{}

// MemberProbed is the result of a ProbeMember action.
type MemberProbed struct {
	MemberID uint64
	Alive    bool
}

// PeerSeen reports that another agent has dialled this one.
type PeerSeen struct {
	Member wire.Member // with its ID and address only
}

// PeerAnnounced reports that a member has announced its own entry, which the store may lack.
type PeerAnnounced struct {
	Member wire.Member
}

// ConfigRejected reports that the configuration of an ApplyConfig action cannot be used.
type ConfigRejected struct {
	Value []byte
}

// Tick reports that time has passed.
type Tick struct{}

func (Listed) isEvent()          {}
func (Changed) isEvent()         {}
func (StoreLost) isEvent()       {}
func (StoreAnswered) isEvent()   {}
func (PeerReplied) isEvent()     {}
func (StartQueryEnded) isEvent() {}
func (MemberProbed) isEvent()    {}
func (PeerSeen) isEvent()        {}
func (PeerAnnounced) isEvent()   {}
func (ConfigRejected) isEvent()  {}
func (Tick) isEvent()            {}
