package wire

import "net/netip"

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:65536 maps:4096

//msgp:shim netip.AddrPort as:string using:addrPortToString/addrPortFromString witherr:true

// StatusRequest asks for the status of a set of members.
type StatusRequest struct {
	Members   []uint64 `msg:"members"`    // the receiver first, then those that it asks in turn
	Below     uint64   `msg:"below"`      // only members whose version is below it are named, 0 for all
	TimeoutMS int64    `msg:"timeout_ms"` // time in which the receiver answers
}

// StatusReply is the status of a set of members.
type StatusReply struct {
	Asked   int            `msg:"asked"`    // members asked
	InForce int            `msg:"in_force"` // members at or above StatusRequest.Below
	Members []MemberStatus `msg:"members"`
}

// MemberStatus is what one daemon says of itself, or that it did not answer.
type MemberStatus struct {
	ID          uint64         `msg:"id" json:"id,string"`
	Service     string         `msg:"service" json:"service"`
	Domain      string         `msg:"domain" json:"domain"`
	Region      string         `msg:"region" json:"region"`
	Proxy       netip.AddrPort `msg:"proxy" json:"proxy"`
	Version     uint64         `msg:"version" json:"version"`         // configuration version in force
	Refused     uint64         `msg:"refused" json:"refused"`         // version that the daemon could not take, 0 for none
	RefusedWhy  string         `msg:"refused_why" json:"refused_why"` // empty when none was refused
	Ready       bool           `msg:"ready" json:"ready"`
	Leaving     bool           `msg:"leaving" json:"leaving"`
	Reader      bool           `msg:"reader" json:"reader"`
	StoreDown   bool           `msg:"store_down" json:"store_down"`
	InFlight    int            `msg:"in_flight" json:"in_flight"`
	MemberCount int            `msg:"member_count" json:"member_count"` // members that the daemon's roster holds
	Unreachable bool           `msg:"unreachable" json:"unreachable"`
}
