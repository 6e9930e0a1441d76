package roster

import "github.com/yuccaport/yuccaport/src/wire"

const (
	probeBaseSize  = 48 // maximum bytes of a datagram without its lists
	briefSize      = 18 // maximum bytes of a Brief
	memberBaseSize = 48 // maximum bytes of a Member without its strings and addresses
	addrSize       = 50 // maximum bytes of an address and port
)

// memberSize returns an upper bound of a member's encoded size in bytes.
func memberSize(m *wire.Member) int {
	return memberBaseSize + 2*addrSize + len(m.Service) + len(m.Domain) + len(m.Region)
}

// probeSize returns an upper bound of a datagram's encoded size in bytes.
func probeSize(p *wire.Probe) int {
	n := probeBaseSize + briefSize*len(p.Briefs) + len(p.Padding)
	for i := range p.Members {
		n += memberSize(&p.Members[i])
	}
	return n
}

// appendMember appends the full description of a member to a datagram if that stays within limit bytes.
func (c *Core) appendMember(p *wire.Probe, m *wire.Member, limit int) {
	if probeSize(p)+memberSize(m) <= limit {
		p.Members = append(p.Members, *m)
	}
}
