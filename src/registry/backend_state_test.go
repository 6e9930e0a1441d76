package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBackendStateApplyHeartbeat(t *testing.T) {
	heartbeat := func(instance string, startedAt, sequence int, leaving bool) Heartbeat {
		return Heartbeat{Instance: instance, Addr: addr(1), Service: "bookings", Slots: 9, Leaving: leaving, Sequence: uint64(sequence), StartedAt: startTime.Add(time.Duration(startedAt) * time.Second)}
	}
	otherService := heartbeat("a", 1, 2, false)
	otherService.Service = "jobrecords"
	otherAddr := heartbeat("a", 1, 2, false)
	otherAddr.Addr = addr(2)
	withoutStart := heartbeat("a", 1, 2, false)
	withoutStart.StartedAt = time.Time{}
	tests := map[string]struct {
		heartbeats []Heartbeat
		want       Verdict // of the last
		instance   string
		leaving    bool
	}{
		"first":                             {[]Heartbeat{heartbeat("a", 1, 1, false)}, VerdictAccepted, "a", false},
		"later":                             {[]Heartbeat{heartbeat("a", 1, 1, false), heartbeat("a", 1, 2, false)}, VerdictAccepted, "a", false},
		"delayed":                           {[]Heartbeat{heartbeat("a", 1, 2, false), heartbeat("a", 1, 1, false)}, VerdictStale, "a", false},
		"leaving":                           {[]Heartbeat{heartbeat("a", 1, 1, false), heartbeat("a", 1, 2, true)}, VerdictAccepted, "a", true},
		"delayed heartbeat after leaving":   {[]Heartbeat{heartbeat("a", 1, 3, true), heartbeat("a", 1, 2, false)}, VerdictStale, "a", true},
		"heartbeat after leaving":           {[]Heartbeat{heartbeat("a", 1, 1, true), heartbeat("a", 1, 2, false)}, VerdictAccepted, "a", true},
		"successor":                         {[]Heartbeat{heartbeat("a", 1, 9, true), heartbeat("b", 2, 1, false)}, VerdictAccepted, "b", false},
		"restart with same ID":              {[]Heartbeat{heartbeat("a", 1, 9, true), heartbeat("a", 2, 1, false)}, VerdictAccepted, "a", false},
		"delayed heartbeat of predecessor":  {[]Heartbeat{heartbeat("b", 2, 1, false), heartbeat("a", 1, 9, false)}, VerdictStale, "b", false},
		"leave of predecessor with same ID": {[]Heartbeat{heartbeat("a", 2, 1, false), heartbeat("a", 1, 9, true)}, VerdictStale, "a", false},
		"another service":                   {[]Heartbeat{heartbeat("a", 1, 1, false), otherService}, VerdictRefused, "a", false},
		"another address":                   {[]Heartbeat{heartbeat("a", 1, 1, false), otherAddr}, VerdictRefused, "a", false},
		"no start time":                     {[]Heartbeat{heartbeat("a", 1, 1, false), withoutStart}, VerdictRefused, "a", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := BackendState{Service: "bookings", Addr: addr(1)}
			var got Verdict
			for _, h := range tc.heartbeats {
				got = s.ApplyHeartbeat(startTime, h)
			}
			qt.Assert(t, got, qt.Equals, tc.want)
			qt.Assert(t, s.Instance(), qt.Equals, tc.instance)
			qt.Assert(t, s.Leaving(), qt.Equals, tc.leaving)
		})
	}
}

func TestBackendStateApplyLeave(t *testing.T) {
	heartbeat := func(startedAt int) Heartbeat {
		return Heartbeat{Instance: "a", Addr: addr(1), Service: "bookings", Slots: 9, Sequence: 15, StartedAt: startTime.Add(time.Duration(startedAt) * time.Second)}
	}
	s := BackendState{Service: "bookings", Addr: addr(1)}
	s.ApplyHeartbeat(startTime, heartbeat(0))
	qt.Assert(t, s.ApplyLeave(startTime, "b", time.Time{}), qt.Equals, VerdictStale)
	qt.Assert(t, s.ApplyLeave(startTime, "a", startTime.Add(-time.Second)), qt.Equals, VerdictStale)
	qt.Assert(t, s.Leaving(), qt.IsFalse)
	qt.Assert(t, s.ApplyLeave(startTime, "a", time.Time{}), qt.Equals, VerdictAccepted)
	qt.Assert(t, s.Leaving(), qt.IsTrue)
}

// A delayed heartbeat must not undo a leave: a restarted agent acknowledged the leave of a backend server before it had received a heartbeat from it, and then treated a delayed heartbeat as one from a ready server (found with seed 349523098045).
func TestBackendStateApplyLeaveBeforeHeartbeat(t *testing.T) {
	heartbeat := func(startedAt int) Heartbeat {
		return Heartbeat{Instance: "a", Addr: addr(1), Service: "bookings", Slots: 9, Sequence: 15, StartedAt: startTime.Add(time.Duration(startedAt) * time.Second)}
	}
	tests := map[string]struct {
		prepare   func(s *BackendState)
		startedAt int // start time in the heartbeat that follows, in seconds; the leave is at 5
		leaving   bool
	}{
		"no instance known":          {func(*BackendState) {}, 1, true},
		"found by health endpoint":   {func(s *BackendState) { s.ApplyHealthCheck("a") }, 1, true},
		"predecessor known":          {func(s *BackendState) { h := heartbeat(0); h.Instance = "z"; s.ApplyHeartbeat(startTime, h) }, 1, true},
		"later restart with same ID": {func(*BackendState) {}, 6, false},
		"health check after the leave": {func(s *BackendState) {
			s.ApplyLeave(startTime.Add(5*time.Second), "a", time.Time{})
			s.ApplyHealthCheck("a")
		}, 1, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := BackendState{Service: "bookings", Addr: addr(1)}
			tc.prepare(&s)
			s.ApplyLeave(startTime.Add(5*time.Second), "a", time.Time{})
			s.ApplyHeartbeat(startTime.Add(7*time.Second), heartbeat(tc.startedAt))
			qt.Assert(t, s.Instance(), qt.Equals, "a")
			qt.Assert(t, s.Leaving(), qt.Equals, tc.leaving)
		})
	}
}
