package dispatch

import (
	"net/netip"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Member is a daemon with its backend server, as passed to the core in TableChanged.
type Member struct {
	ID      uint64           `json:"id"`
	Service string           `json:"service"`
	Domain  string           `json:"domain"` // failure domain
	Region  string           `json:"region,omitempty"`
	Slots   int              `json:"slots"` // calls that the backend server runs at a time
	State   wire.MemberState `json:"state,omitempty"`
	Ready   bool             `json:"ready"`
	Age     time.Duration    `json:"age_ns"` // since the daemon's start, by its own clock

	Addr      netip.AddrPort `json:"addr,omitzero"`       // of the daemon, which it keeps over its own restarts
	Version   string         `json:"version,omitempty"`   // of the backend server's software, empty if unknown
	StartedAt time.Time      `json:"started_at,omitzero"` // of the backend server or, where its start is not reported, of the daemon; zero if unknown
}

func newMember(m wire.Member, now time.Time) Member {
	startedAt := time.Time{}
	if m.StartedAt > 0 {
		startedAt = time.UnixMilli(m.StartedAt)
	}
	return Member{
		ID: m.ID, Service: m.Service, Domain: m.Domain, Region: m.Region, Slots: int(m.Slots),
		State: m.State, Ready: m.Ready, Age: now.Sub(time.UnixMilli(m.StartedAt)),
		Addr: m.Addr, Version: m.Version, StartedAt: startedAt,
	}
}
