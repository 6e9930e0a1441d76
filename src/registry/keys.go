package registry

import "net/netip"

// Keys names what the registry reads and writes in the store.
type Keys struct {
	WatchPrefix     string // prefix of everything below
	Config          string // key of the configuration, written by the operator
	MemberPrefix    string // prefix of the entries of agents
	TombstonePrefix string // prefix of the markers of backend servers that have said that they leave
}

func (k Keys) member(a netip.AddrPort) string { return k.MemberPrefix + a.String() }
