package registry

import (
	"net/netip"
	"time"
)

// BackendState is the state of the agent's backend server, as reported by its heartbeats, leave messages and health endpoint. It is not safe for concurrent use.
type BackendState struct {
	Service string
	Addr    netip.AddrPort // address of the backend server

	instance      string
	startedAt     time.Time
	sequence      uint64
	leaving       bool
	heartbeatSeen bool
	slots         int
	version       string
	coldStartEnd  time.Time            // the backend server is slow until then
	tombstones    map[string]time.Time // by instance ID: the incarnations that started at or before this time have announced that they are leaving
}

// maxTombstones limits the instance IDs with a tombstone; beyond it all are discarded.
const maxTombstones = 64

// ApplyHeartbeat applies a heartbeat. An incarnation replaces one that did not start after it, and within an incarnation the highest sequence counts. Leaving is final for an incarnation.
func (s *BackendState) ApplyHeartbeat(now time.Time, h Heartbeat) Verdict {
	if h.Instance == "" || h.Service != s.Service || h.Addr != s.Addr || h.StartedAt.IsZero() {
		return VerdictRefused
	}
	switch {
	case h.StartedAt.Before(s.startedAt):
		return VerdictStale
	case h.StartedAt.Equal(s.startedAt) && h.Instance == s.instance:
		if h.Sequence <= s.sequence {
			return VerdictStale
		}
	default:
		s.instance, s.startedAt, s.leaving = h.Instance, h.StartedAt, false
	}
	s.heartbeatSeen, s.sequence, s.slots, s.version = true, h.Sequence, h.Slots, h.Version
	if h.Leaving {
		s.recordTombstone(h.Instance, h.StartedAt)
	}
	s.leaving = s.leaving || !h.StartedAt.After(s.tombstones[h.Instance])
	s.coldStartEnd = now.Add(h.ColdStart)
	return VerdictAccepted
}

// ApplyLeave marks all incarnations of an instance ID that started at or before startedAt as leaving, even if no heartbeat of them has been received yet. A zero startedAt stands for the current time. It returns VerdictStale if another instance or a later incarnation is current; the leave is recorded all the same, so that a delayed heartbeat cannot undo it.
func (s *BackendState) ApplyLeave(now time.Time, instance string, startedAt time.Time) Verdict {
	if instance == "" {
		return VerdictRefused
	}
	if startedAt.IsZero() {
		startedAt = now
	}
	s.recordTombstone(instance, startedAt)
	if s.instance != instance && s.instance != "" || startedAt.Before(s.startedAt) {
		return VerdictStale
	}
	s.instance, s.leaving = instance, true
	return VerdictAccepted
}

// recordTombstone records that all incarnations of an instance ID that started at or before latestStart have announced that they are leaving.
func (s *BackendState) recordTombstone(instance string, latestStart time.Time) {
	if s.tombstones == nil || len(s.tombstones) >= maxTombstones {
		s.tombstones = map[string]time.Time{}
	}
	if latestStart.After(s.tombstones[instance]) {
		s.tombstones[instance] = latestStart
	}
}

// Tombstone returns the recorded time: all incarnations of the current instance ID that started at or before it have announced that they are leaving. It is zero if there is none.
func (s *BackendState) Tombstone() time.Time { return s.tombstones[s.instance] }

// ApplyHealthCheck sets the instance ID that the health endpoint reported, and reports whether it changed. An instance ID with a tombstone counts as leaving, since its start time is unknown. An empty instance, or a call after the first heartbeat, has no effect.
func (s *BackendState) ApplyHealthCheck(instance string) bool {
	if s.heartbeatSeen || instance == "" || s.instance == instance {
		return false
	}
	_, s.leaving = s.tombstones[instance]
	s.instance = instance
	return true
}

// Instance returns the instance ID of the current incarnation, empty if it is unknown.
func (s *BackendState) Instance() string { return s.instance }

// Leaving reports whether the current incarnation has announced that it is leaving.
func (s *BackendState) Leaving() bool { return s.leaving }

// Slots returns the number of requests that the backend server runs at once, 0 if it is unknown.
func (s *BackendState) Slots() int { return s.slots }

// Version returns the version of the backend server's software, empty if it is unknown.
func (s *BackendState) Version() string { return s.version }

// StartedAt returns the start time of the current incarnation, zero if it is unknown.
func (s *BackendState) StartedAt() time.Time { return s.startedAt }

// ColdStartEnd returns the time at which the backend server has warmed up, zero if it is unknown.
func (s *BackendState) ColdStartEnd() time.Time { return s.coldStartEnd }
