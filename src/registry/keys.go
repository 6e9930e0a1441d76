package registry

import "net/netip"

// Keys names what the registry reads and writes in the store.
type Keys struct {
	Watched string // prefix of everything below
	Config  string // key of the configuration, written by the operator
	Members string // prefix of the entries of agents
	Left    string // prefix of the markers of backend servers that have said that they leave
}

func (k Keys) member(a netip.AddrPort) string { return k.Members + a.String() }
