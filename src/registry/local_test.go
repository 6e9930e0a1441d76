package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLocal(t *testing.T) {
	beat := func(instance string, born, sequence int, leaving bool) Heartbeat {
		return Heartbeat{Instance: instance, Addr: addr(1), Service: "bookings", Slots: 9, Leaving: leaving, Sequence: uint64(sequence), StartedAt: epoch.Add(time.Duration(born) * time.Second)}
	}
	other := beat("a", 1, 2, false)
	other.Service = "jobrecords"
	elsewhere := beat("a", 1, 2, false)
	elsewhere.Addr = addr(2)
	unborn := beat("a", 1, 2, false)
	unborn.StartedAt = time.Time{}
	tests := map[string]struct {
		beats    []Heartbeat
		want     Verdict // of the last
		instance string
		leaving  bool
	}{
		"first":                                {[]Heartbeat{beat("a", 1, 1, false)}, VerdictAccepted, "a", false},
		"later":                                {[]Heartbeat{beat("a", 1, 1, false), beat("a", 1, 2, false)}, VerdictAccepted, "a", false},
		"delayed":                              {[]Heartbeat{beat("a", 1, 2, false), beat("a", 1, 1, false)}, VerdictStale, "a", false},
		"leaving":                              {[]Heartbeat{beat("a", 1, 1, false), beat("a", 1, 2, true)}, VerdictAccepted, "a", true},
		"delayed ready after leaving":          {[]Heartbeat{beat("a", 1, 3, true), beat("a", 1, 2, false)}, VerdictStale, "a", true},
		"ready after leaving":                  {[]Heartbeat{beat("a", 1, 1, true), beat("a", 1, 2, false)}, VerdictAccepted, "a", true},
		"successor":                            {[]Heartbeat{beat("a", 1, 9, true), beat("b", 2, 1, false)}, VerdictAccepted, "b", false},
		"same ID starts again":                 {[]Heartbeat{beat("a", 1, 9, true), beat("a", 2, 1, false)}, VerdictAccepted, "a", false},
		"predecessor's heartbeat, held up":     {[]Heartbeat{beat("b", 2, 1, false), beat("a", 1, 9, false)}, VerdictStale, "b", false},
		"predecessor's farewell under same ID": {[]Heartbeat{beat("a", 2, 1, false), beat("a", 1, 9, true)}, VerdictStale, "a", false},
		"another service":                      {[]Heartbeat{beat("a", 1, 1, false), other}, VerdictRefused, "a", false},
		"another address":                      {[]Heartbeat{beat("a", 1, 1, false), elsewhere}, VerdictRefused, "a", false},
		"no start":                             {[]Heartbeat{beat("a", 1, 1, false), unborn}, VerdictRefused, "a", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := BackendState{Service: "bookings", Addr: addr(1)}
			var got Verdict
			for _, b := range tc.beats {
				got = l.ApplyHeartbeat(epoch, b)
			}
			qt.Assert(t, got, qt.Equals, tc.want)
			qt.Assert(t, l.Instance(), qt.Equals, tc.instance)
			qt.Assert(t, l.Leaving(), qt.Equals, tc.leaving)
		})
	}
}

func TestLocalLeave(t *testing.T) {
	beat := func(born int) Heartbeat {
		return Heartbeat{Instance: "a", Addr: addr(1), Service: "bookings", Slots: 9, Sequence: 15, StartedAt: epoch.Add(time.Duration(born) * time.Second)}
	}
	l := BackendState{Service: "bookings", Addr: addr(1)}
	l.ApplyHeartbeat(epoch, beat(0))
	qt.Assert(t, l.ApplyLeave(epoch, "b", time.Time{}), qt.Equals, VerdictStale)
	qt.Assert(t, l.ApplyLeave(epoch, "a", epoch.Add(-time.Second)), qt.Equals, VerdictStale)
	qt.Assert(t, l.Leaving(), qt.IsFalse)
	qt.Assert(t, l.ApplyLeave(epoch, "a", time.Time{}), qt.Equals, VerdictAccepted)
	qt.Assert(t, l.Leaving(), qt.IsTrue)
}

// Found by DRAIN on redes-pto trouble-3, seed 349523098045: a restarted agent acknowledged the farewell of a backend server that it had not heard yet, and then took its delayed heartbeat for that of a ready one.
func TestLocalLeaveBeforeAnyHeartbeat(t *testing.T) {
	beat := func(born int) Heartbeat {
		return Heartbeat{Instance: "a", Addr: addr(1), Service: "bookings", Slots: 9, Sequence: 15, StartedAt: epoch.Add(time.Duration(born) * time.Second)}
	}
	tests := map[string]struct {
		before  func(l *BackendState)
		born    int // of the heartbeat that follows, in seconds; the farewell comes at 5
		leaving bool
	}{
		"nothing known":                      {func(*BackendState) {}, 1, true},
		"found by its health endpoint":       {func(l *BackendState) { l.ApplyProbe("a") }, 1, true},
		"predecessor known":                  {func(l *BackendState) { h := beat(0); h.Instance = "z"; l.ApplyHeartbeat(epoch, h) }, 1, true},
		"same ID starts again afterwards":    {func(*BackendState) {}, 6, false},
		"probed only after the farewell too": {func(l *BackendState) { l.ApplyLeave(epoch.Add(5*time.Second), "a", time.Time{}); l.ApplyProbe("a") }, 1, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := BackendState{Service: "bookings", Addr: addr(1)}
			tc.before(&l)
			l.ApplyLeave(epoch.Add(5*time.Second), "a", time.Time{})
			l.ApplyHeartbeat(epoch.Add(7*time.Second), beat(tc.born))
			qt.Assert(t, l.Instance(), qt.Equals, "a")
			qt.Assert(t, l.Leaving(), qt.Equals, tc.leaving)
		})
	}
}
