package registry_test

import (
	"net/netip"

	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/wire"
)

var testKeys = registry.Keys{WatchPrefix: "mesh/", Config: "mesh/config", MemberPrefix: "mesh/member/", TombstonePrefix: "mesh/left/"}

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
}

func member(n int) wire.Member {
	return wire.Member{ID: uint64(n), Addr: addr(n), Service: "bookings", Ready: true}
}

func memberKey(a netip.AddrPort) string { return testKeys.MemberPrefix + a.String() }
