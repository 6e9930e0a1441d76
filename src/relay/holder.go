package relay

import (
	"errors"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const recentUpdates = 8

// holder keeps the newest whole configuration and brings it into force.
type holder struct {
	onSnapshot func(*ledger.Snapshot) error
	held       *ledger.Snapshot // newest whole version
	inForce    *ledger.Snapshot // nil before open
	opened     bool
	recent     []wire.Update // passed on, newest last
}

// apply takes an update whole or not at all.
func (h *holder) apply(u wire.Update) error {
	next, err := h.held.Apply(u)
	if err != nil {
		return err
	}
	if next == h.held {
		return nil
	}
	if h.opened {
		if err := h.onSnapshot(next); err != nil {
			return err
		}
		h.inForce = next
	}
	h.held = next
	return nil
}

// open brings the version held into force.
func (h *holder) open() error {
	h.opened = true
	if err := h.onSnapshot(h.held); err != nil {
		return err
	}
	h.inForce = h.held
	return nil
}

// remember keeps an update that may be passed on even if it is not taken.
func (h *holder) remember(u wire.Update) {
	h.recent = append(h.recent, u)
	h.recent = h.recent[max(len(h.recent)-recentUpdates, 0):]
}

// update returns an update from base that reaches version or a later one; false when there is none.
func (h *holder) update(base, version uint64) (wire.Update, bool) {
	if h.held != nil && h.held.Version >= version {
		return h.held.UpdateFrom(base), true
	}
	for i := len(h.recent) - 1; i >= 0; i-- {
		if u := h.recent[i]; u.Version >= version && u.From <= base {
			return u, true
		}
	}
	return wire.Update{}, false
}

// result returns the event that tells the core of an update's end.
func result(u wire.Update, source Source, peer uint64, err error) Event {
	if err == nil {
		return Taken{Version: u.Version, Source: source, Peer: peer}
	}
	gap := errors.Is(err, ledger.Gap) || errors.Is(err, problem.Protocol)
	return Refused{Version: u.Version, Source: source, Peer: peer, Base: u.From, BadUpdate: gap}
}
