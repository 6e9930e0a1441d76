package registry

import "github.com/yuccaport/yuccaport/src/wire"

// Event is something that the Core decides on.
type Event interface{ isEvent() }

// Listed is everything that the store holds.
type Listed struct {
	Items    []Item
	Revision uint64 // of the store
}

// Changed is what a watch has told.
type Changed struct {
	Items    []Item
	Revision uint64 // of the store
}

// StoreLost tells that a call to the store has failed.
type StoreLost struct{}

// StoreRecovered tells that the store has answered.
type StoreRecovered struct{}

// PeerReplied is what a peer knows.
type PeerReplied struct {
	Reply         wire.RegistryReply
	Authoritative bool // the peer follows the store, so that what it tells to be removed is removed
}

// MemberProbed tells whether a member whose entry has lapsed answers over its link.
type MemberProbed struct {
	Member uint64
	Alive  bool
}

// Tick is the passing of time.
type Tick struct{}

func (Listed) isEvent()         {}
func (Changed) isEvent()        {}
func (StoreLost) isEvent()      {}
func (StoreRecovered) isEvent() {}
func (PeerReplied) isEvent()    {}
func (MemberProbed) isEvent()   {}
func (Tick) isEvent()           {}
