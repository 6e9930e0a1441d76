package registry

import "github.com/yuccaport/yuccaport/src/wire"

// Action is a decision of the Core.
type Action interface{ isAction() }

// PublishMembers tells that the set of members has changed.
type PublishMembers struct{}

// ApplyConfig hands over a configuration that is newer than the one before.
type ApplyConfig struct{ Value []byte }

// Announce asks that the own entry is written again, since the store lacks it.
type Announce struct{}

// ProbeMember asks whether a member whose entry has lapsed answers over its link.
type ProbeMember struct{ Member wire.Member }

// AskPeer asks a member for what it knows, while the store does not answer.
type AskPeer struct{ Member wire.Member }

func (PublishMembers) isAction() {}
func (ApplyConfig) isAction()    {}
func (Announce) isAction()       {}
func (ProbeMember) isAction()    {}
func (AskPeer) isAction()        {}
