package roster

import "github.com/yuccaport/yuccaport/src/wire"

const (
	headSize  = 48 // bytes at most of a datagram without its lists
	briefSize = 18 // bytes at most of a Brief
	fixedSize = 48 // bytes at most of a Member without its strings
	addrSize  = 50 // bytes at most of an address and port
)

// memberSize returns an upper bound of a member's encoded size in bytes.
func memberSize(m *wire.Member) int {
	return fixedSize + 2*addrSize + len(m.Service) + len(m.Domain) + len(m.Region)
}

// probeSize returns an upper bound of a datagram's encoded size in bytes.
func probeSize(p *wire.Probe) int {
	n := headSize + briefSize*len(p.Briefs) + len(p.Padding)
	for i := range p.Members {
		n += memberSize(&p.Members[i])
	}
	return n
}

// addMember adds a whole member to a datagram if it stays within limit bytes.
func (c *Core) addMember(p *wire.Probe, m *wire.Member, limit int) {
	if probeSize(p)+memberSize(m) <= limit {
		p.Members = append(p.Members, *m)
	}
}
