package registry

import (
	"net/netip"
	"strings"
)

// Keys holds the keys and key prefixes that the registry uses in the store.
type Keys struct {
	WatchPrefix     string // common prefix of the keys below
	Config          string // key of the configuration, written by the operator
	MemberPrefix    string // prefix of the agents' entries, followed by the agent's control address, wire.Member.Addr
	TombstonePrefix string // prefix of the tombstones of backend servers, followed by the instance ID
	RolloutPrefix   string // prefix of the orders of rollouts, followed by the service, written by the operator; empty for no rollouts
	PlanPrefix      string // prefix of the records of rollouts, followed by the service; empty for no rollouts
	ProbePrefix     string // prefix of the claims of probes of requests that are quarantined; empty to make no probes
}

// isItem reports whether a key is that of an order or a record of a rollout.
func (k Keys) isItem(key string) bool {
	return k.RolloutPrefix != "" && strings.HasPrefix(key, k.RolloutPrefix) || k.PlanPrefix != "" && strings.HasPrefix(key, k.PlanPrefix)
}

func (k Keys) memberKey(a netip.AddrPort) string { return k.MemberPrefix + a.String() }
