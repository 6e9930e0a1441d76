package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLocal(t *testing.T) {
	beat := func(instance string, born, sequence int, leaving bool) Heartbeat {
		return Heartbeat{Instance: instance, Addr: addr(1), Service: "bookings", Slots: 9, Leaving: leaving, Sequence: uint64(sequence), Born: epoch.Add(time.Duration(born) * time.Second)}
	}
	other := beat("a", 1, 2, false)
	other.Service = "jobrecords"
	elsewhere := beat("a", 1, 2, false)
	elsewhere.Addr = addr(2)
	unborn := beat("a", 1, 2, false)
	unborn.Born = time.Time{}
	tests := map[string]struct {
		beats    []Heartbeat
		want     Verdict // of the last
		instance string
		leaving  bool
	}{
		"first":                                {[]Heartbeat{beat("a", 1, 1, false)}, VerdictTaken, "a", false},
		"later":                                {[]Heartbeat{beat("a", 1, 1, false), beat("a", 1, 2, false)}, VerdictTaken, "a", false},
		"delayed":                              {[]Heartbeat{beat("a", 1, 2, false), beat("a", 1, 1, false)}, VerdictStale, "a", false},
		"leaving":                              {[]Heartbeat{beat("a", 1, 1, false), beat("a", 1, 2, true)}, VerdictTaken, "a", true},
		"delayed ready after leaving":          {[]Heartbeat{beat("a", 1, 3, true), beat("a", 1, 2, false)}, VerdictStale, "a", true},
		"ready after leaving":                  {[]Heartbeat{beat("a", 1, 1, true), beat("a", 1, 2, false)}, VerdictTaken, "a", true},
		"successor":                            {[]Heartbeat{beat("a", 1, 9, true), beat("b", 2, 1, false)}, VerdictTaken, "b", false},
		"same ID starts again":                 {[]Heartbeat{beat("a", 1, 9, true), beat("a", 2, 1, false)}, VerdictTaken, "a", false},
		"predecessor's heartbeat, held up":     {[]Heartbeat{beat("b", 2, 1, false), beat("a", 1, 9, false)}, VerdictStale, "b", false},
		"predecessor's farewell under same ID": {[]Heartbeat{beat("a", 2, 1, false), beat("a", 1, 9, true)}, VerdictStale, "a", false},
		"another service":                      {[]Heartbeat{beat("a", 1, 1, false), other}, VerdictRefused, "a", false},
		"another address":                      {[]Heartbeat{beat("a", 1, 1, false), elsewhere}, VerdictRefused, "a", false},
		"no start":                             {[]Heartbeat{beat("a", 1, 1, false), unborn}, VerdictRefused, "a", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := Local{Service: "bookings", Addr: addr(1)}
			var got Verdict
			for _, b := range tc.beats {
				got = l.Hear(epoch, b)
			}
			qt.Assert(t, got, qt.Equals, tc.want)
			qt.Assert(t, l.Instance(), qt.Equals, tc.instance)
			qt.Assert(t, l.Leaving(), qt.Equals, tc.leaving)
		})
	}
}

func TestLocalLeave(t *testing.T) {
	l := Local{Service: "bookings", Addr: addr(1)}
	l.Hear(epoch, Heartbeat{Instance: "a", Addr: addr(1), Service: "bookings", Sequence: 1, Born: epoch})
	qt.Assert(t, l.Leave("b", time.Time{}), qt.Equals, VerdictStale)
	qt.Assert(t, l.Leave("a", epoch.Add(-time.Second)), qt.Equals, VerdictStale)
	qt.Assert(t, l.Leaving(), qt.IsFalse)
	qt.Assert(t, l.Leave("a", time.Time{}), qt.Equals, VerdictTaken)
	qt.Assert(t, l.Leaving(), qt.IsTrue)
}
