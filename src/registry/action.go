package registry

import "github.com/yuccaport/yuccaport/src/wire"

// Action is an output of Core.
type Action interface{ isAction() }

// PublishMembers reports that the result of Members may have changed.
type PublishMembers struct{}

// ApplyConfig delivers a configuration that is newer than the previous one.
type ApplyConfig struct{ Value []byte }

// DeliverItem delivers an order or a record of a rollout that is newer than the previous one of its
// key, or its deletion.
type DeliverItem struct{ Item Item }

// RestoreItem reports a record that the store, having come back from an older copy, has lost or
// holds in an earlier state. It is to be written again.
type RestoreItem struct {
	Item          Item   // as known
	StoreRevision uint64 // of the key in the store, 0 if the store lacks it
}

// Announce requests that this agent's entry be written, because the store lacks it.
type Announce struct{}

// ProbeMember requests a check whether a member whose entry is missing from the store answers over its link. The result must be passed to Step as a MemberProbed event; until then the member is not probed again.
type ProbeMember struct{ Member wire.Member }

// QueryPeer requests a newer configuration from a peer and, while the store does not answer, the
// members or, with Start, the tombstones.
type QueryPeer struct {
	Member wire.Member
	Start  bool // this agent has just started
}

func (PublishMembers) isAction() {}
func (ApplyConfig) isAction()    {}
func (DeliverItem) isAction()    {}
func (RestoreItem) isAction()    {}
func (Announce) isAction()       {}
func (ProbeMember) isAction()    {}
func (QueryPeer) isAction()      {}
