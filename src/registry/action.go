package registry

import "github.com/yuccaport/yuccaport/src/wire"

// Action is a decision of the Core.
type Action interface{ isAction() }

// Publish tells that the set of members has changed.
type Publish struct{}

// TakeConfig hands over a configuration that is newer than the one before.
type TakeConfig struct{ Value []byte }

// Announce asks that the own entry is written again, since the store lacks it.
type Announce struct{}

// Confirm asks whether a member whose entry has lapsed answers over its link.
type Confirm struct{ Member wire.Member }

// AskPeer asks a member for what it knows, while the store does not answer.
type AskPeer struct{ Member wire.Member }

func (Publish) isAction()    {}
func (TakeConfig) isAction() {}
func (Announce) isAction()   {}
func (Confirm) isAction()    {}
func (AskPeer) isAction()    {}
