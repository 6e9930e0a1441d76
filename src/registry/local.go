package registry

import (
	"net/netip"
	"time"
)

// Local is what is known of the backend server beside the agent.
type Local struct {
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

// Hear takes in a heartbeat: a later incarnation replaces an earlier one, and within one the highest sequence counts. Leaving is final for an incarnation.
func (l *Local) Hear(now time.Time, h Heartbeat) Verdict {
	if h.Instance == "" || h.Service != l.Service || h.Addr != l.Addr || h.Born.IsZero() {
		return VerdictRefused
	}
	switch {
	case h.Born.Before(l.born):
		return VerdictStale
	case h.Born.Equal(l.born) && h.Instance == l.instance:
		if h.Sequence <= l.sequence {
			return VerdictStale
		}
	default:
		l.instance, l.born, l.leaving = h.Instance, h.Born, false
	}
	l.known, l.sequence, l.slots = true, h.Sequence, h.Slots
	if h.Leaving {
		l.note(h.Instance, h.Born)
	}
	l.leaving = l.leaving || !h.Born.After(l.left[h.Instance])
	l.cold = now.Add(h.Cold)
	return VerdictTaken
}

// Leave takes in that an incarnation ends, also one that has not been heard yet. A zero born stands for every incarnation of that ID until now.
func (l *Local) Leave(now time.Time, instance string, born time.Time) Verdict {
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
	return VerdictTaken
}

// note remembers that the incarnations of an ID that were born until a time have left.
func (l *Local) note(instance string, until time.Time) {
	if l.left == nil || len(l.left) >= maxLeft {
		l.left = map[string]time.Time{}
	}
	if until.After(l.left[instance]) {
		l.left[instance] = until
	}
}

// LeftUntil returns the start until which the incarnations of the known ID have left, zero for none.
func (l *Local) LeftUntil() time.Time { return l.left[l.instance] }

// Probed takes in the ID that the backend server tells on its health endpoint, before its first heartbeat.
func (l *Local) Probed(instance string) bool {
	if l.known || instance == "" || l.instance == instance {
		return false
	}
	_, l.leaving = l.left[instance]
	l.instance = instance
	return true
}

// Instance returns the ID of the incarnation, empty while none is known.
func (l *Local) Instance() string { return l.instance }

// Leaving tells whether the incarnation has said that it leaves.
func (l *Local) Leaving() bool { return l.leaving }

// Slots returns how many requests it runs at once, 0 while that is unknown.
func (l *Local) Slots() int { return l.slots }

// Born returns the start of the incarnation, zero while that is unknown.
func (l *Local) Born() time.Time { return l.born }

// ColdUntil returns when it has warmed up.
func (l *Local) ColdUntil() time.Time { return l.cold }
