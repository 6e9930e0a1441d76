package tenants

import "github.com/yuccaport/yuccaport/src/wire"

// Action is an output of Core.Step: Send.
type Action interface{ isAction() }

// Send sends a report; Answered or Failed must follow.
type Send struct {
	To     wire.Member
	Report wire.TenantReport
}

func (Send) isAction() {}
