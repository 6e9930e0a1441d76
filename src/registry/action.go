package registry

import "github.com/yuccaport/yuccaport/src/wire"

// Action is an output of Core.
type Action interface{ isAction() }

// PublishMembers reports that the result of Members may have changed.
type PublishMembers struct{}

// ApplyConfig delivers a configuration that is newer than the previous one.
type ApplyConfig struct{ Value []byte }

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
func (Announce) isAction()       {}
func (ProbeMember) isAction()    {}
func (QueryPeer) isAction()      {}
