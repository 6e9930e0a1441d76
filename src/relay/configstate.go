package relay

import (
	"errors"

	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const maxRecentUpdates = 8 // pushed updates kept so that they can be passed on

// configState holds the daemon's configuration and brings it into force.
type configState struct {
	onSnapshot    func(*ledger.Snapshot) error
	held          *ledger.Snapshot // newest version received in full; once opened, only if onSnapshot accepted it
	inForce       *ledger.Snapshot // nil before open
	opened        bool             // open was called; later versions come into force at once
	recentUpdates []wire.Update    // received by push, newest last
}

// apply applies an update in full, or returns an error and changes nothing. Once opened, it also brings the version into force.
func (s *configState) apply(u wire.Update) error {
	next, err := s.held.Apply(u)
	if err != nil {
		return err
	}
	if next == s.held {
		return nil
	}
	if s.opened {
		if err := s.onSnapshot(next); err != nil {
			return err
		}
		s.inForce = next
	}
	s.held = next
	return nil
}

// open brings the version held into force. On an error the version stays held and is not tried again.
func (s *configState) open() error {
	s.opened = true
	if err := s.onSnapshot(s.held); err != nil {
		return err
	}
	s.inForce = s.held
	return nil
}

// rememberUpdate keeps a pushed update, which is passed on even if this daemon refuses it.
func (s *configState) rememberUpdate(u wire.Update) {
	s.recentUpdates = append(s.recentUpdates, u)
	s.recentUpdates = s.recentUpdates[max(len(s.recentUpdates)-maxRecentUpdates, 0):]
}

// findUpdate returns an update that applies to base and leads to version or a later one; false if there is none.
func (s *configState) findUpdate(base, version uint64) (wire.Update, bool) {
	if s.held != nil && s.held.Version >= version {
		return s.held.UpdateFrom(base), true
	}
	for i := len(s.recentUpdates) - 1; i >= 0; i-- {
		if u := s.recentUpdates[i]; u.Version >= version && u.From <= base {
			return u, true
		}
	}
	return wire.Update{}, false
}

// updateResult returns the event for the outcome of an update.
func updateResult(u wire.Update, source Source, peer uint64, err error) Event {
	if err == nil {
		return Taken{Version: u.Version, Source: source, Peer: peer}
	}
	unusable := errors.Is(err, ledger.VersionGap) || errors.Is(err, problem.Protocol)
	return Refused{Version: u.Version, Source: source, Peer: peer, Base: u.From, UpdateUnusable: unusable}
}
