package registry

import (
	"net/netip"
	"time"
)

// BackendState is what is known of the backend server beside the agent.
type BackendState struct {
	Service string
	Addr    netip.AddrPort

	instance string
	born     time.Time
	sequence uint64
	leaving  bool
	known    bool
	slots    int
	cold     time.Time            // until then it is slow after its start
	left     map[string]time.Time // incarnations of an ID that were born until then have said that they leave
}

// maxLeft is how many IDs of incarnations that have left are remembered.
const maxLeft = 64

// ApplyHeartbeat takes in a heartbeat: a later incarnation replaces an earlier one, and within one the highest sequence counts. Leaving is final for an incarnation.
func (l *BackendState) ApplyHeartbeat(now time.Time, h Heartbeat) Verdict {
	if h.Instance == "" || h.Service != l.Service || h.Addr != l.Addr || h.StartedAt.IsZero() {
		return VerdictRefused
	}
	switch {
	case h.StartedAt.Before(l.born):
		return VerdictStale
	case h.StartedAt.Equal(l.born) && h.Instance == l.instance:
		if h.Sequence <= l.sequence {
			return VerdictStale
		}
	default:
		l.instance, l.born, l.leaving = h.Instance, h.StartedAt, false
	}
	l.known, l.sequence, l.slots = true, h.Sequence, h.Slots
	if h.Leaving {
		l.note(h.Instance, h.StartedAt)
	}
	l.leaving = l.leaving || !h.StartedAt.After(l.left[h.Instance])
	l.cold = now.Add(h.ColdStart)
	return VerdictAccepted
}

// ApplyLeave takes in that an incarnation ends, also one that has not been heard yet. A zero born stands for every incarnation of that ID until now.
func (l *BackendState) ApplyLeave(now time.Time, instance string, born time.Time) Verdict {
	if instance == "" {
		return VerdictRefused
	}
	if born.IsZero() {
		born = now
	}
	l.note(instance, born)
	if l.instance != instance && l.instance != "" || born.Before(l.born) {
		return VerdictStale
	}
	l.instance, l.leaving = instance, true
	return VerdictAccepted
}

// note remembers that the incarnations of an ID that were born until a time have left.
func (l *BackendState) note(instance string, until time.Time) {
	if l.left == nil || len(l.left) >= maxLeft {
		l.left = map[string]time.Time{}
	}
	if until.After(l.left[instance]) {
		l.left[instance] = until
	}
}

// Tombstone returns the start until which the incarnations of the known ID have left, zero for none.
func (l *BackendState) Tombstone() time.Time { return l.left[l.instance] }

// ApplyProbe takes in the ID that the backend server tells on its health endpoint, before its first heartbeat.
func (l *BackendState) ApplyProbe(instance string) bool {
	if l.known || instance == "" || l.instance == instance {
		return false
	}
	_, l.leaving = l.left[instance]
	l.instance = instance
	return true
}

// Instance returns the ID of the incarnation, empty while none is known.
func (l *BackendState) Instance() string { return l.instance }

// Leaving tells whether the incarnation has said that it leaves.
func (l *BackendState) Leaving() bool { return l.leaving }

// Slots returns how many requests it runs at once, 0 while that is unknown.
func (l *BackendState) Slots() int { return l.slots }

// StartedAt returns the start of the incarnation, zero while that is unknown.
func (l *BackendState) StartedAt() time.Time { return l.born }

// ColdStartEnd returns when it has warmed up.
func (l *BackendState) ColdStartEnd() time.Time { return l.cold }
