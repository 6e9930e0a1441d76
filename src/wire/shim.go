package wire

import "net/netip"

func addrPortToString(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func addrPortFromString(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(s)
}
