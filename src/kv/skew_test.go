package kv

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSkew(t *testing.T) {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		date string
		want time.Duration
	}{
		"same":      {"Tue, 01 Dec 2026 08:00:00 GMT", 0},
		"ahead":     {"Tue, 01 Dec 2026 09:00:00 GMT", time.Hour},
		"behind":    {"Mon, 30 Nov 2026 08:00:00 GMT", -24 * time.Hour},
		"malformed": {"yesterday", 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s skew
			s.observe([]byte(tc.date), now)
			c.Check(time.Duration(s.d.Load()), qt.Equals, tc.want)
		})
	}
}
