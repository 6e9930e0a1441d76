package dispatch

import (
	"net/netip"
	"time"
)

// maxLeavingServers limits the addresses that leavingServers keeps; beyond it, the server that
// started earliest is dropped.
const maxLeavingServers = 1024

// leavingServers holds the backend servers that have said in an answer that they are leaving: by
// the address of their daemon, those that started at the given time or before.
//
// It is kept apart from the members, since a daemon that restarts is a new member beside the same
// backend server.
type leavingServers map[netip.AddrPort]time.Time

// add adds the backend server that started at a time beside the daemon at an address. If its start
// is unknown, all that have started until now are added.
func (l *leavingServers) add(now time.Time, addr netip.AddrPort, startedAt time.Time) {
	if *l == nil {
		*l = leavingServers{}
	}
	if startedAt.IsZero() {
		startedAt = now
	}
	if startedAt.After((*l)[addr]) {
		(*l)[addr] = startedAt
	}
	if len(*l) > maxLeavingServers {
		l.dropEarliest()
	}
}

func (l *leavingServers) dropEarliest() {
	var earliest netip.AddrPort
	for addr, at := range *l {
		if !earliest.IsValid() || at.Before((*l)[earliest]) {
			earliest = addr
		}
	}
	delete(*l, earliest)
}

// contains reports whether the backend server of a member is leaving; one whose start is unknown
// may be the one that said so.
func (l leavingServers) contains(m Member) bool {
	latestStart, ok := l[m.Addr]
	return ok && !m.StartedAt.After(latestStart)
}
