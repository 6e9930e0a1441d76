package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Member is what the core knows of a member from the roster.
type Member struct {
	ID        uint64           `json:"id"`
	Service   string           `json:"service"`
	Domain    string           `json:"domain"` // failure domain
	Region    string           `json:"region,omitempty"`
	Slots     int              `json:"slots"`
	State     wire.MemberState `json:"state,omitempty"`
	Ready     bool             `json:"ready"`
	StartedAt time.Time        `json:"started_at,omitzero"`
}

func newMember(m wire.Member) Member {
	return Member{
		ID: m.ID, Service: m.Service, Domain: m.Domain, Region: m.Region, Slots: int(m.Slots),
		State: m.State, Ready: m.Ready, StartedAt: time.UnixMilli(m.StartedAt).UTC(),
	}
}
