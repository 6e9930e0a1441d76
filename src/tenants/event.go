package tenants

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Event is an input of Core.Step: Due, Answered or Failed.
type Event interface{ isEvent() }

// Due is the moment at which a report may be due.
type Due struct {
	Members []wire.Member // all that are known; not kept
}

// Answered is the answer to a report.
type Answered struct {
	To     wire.Member
	SentAt time.Time
	Report wire.TenantReport
	Grants wire.TenantGrants
}

// Failed is a report that was not answered; the granter may have processed it.
type Failed struct {
	To     wire.Member
	Report wire.TenantReport
}

func (Due) isEvent()      {}
func (Answered) isEvent() {}
func (Failed) isEvent()   {}
