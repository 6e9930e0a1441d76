package booking

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// A backend server that refuses a call may state a Retry-After with fractions of a second; it must
// reach the caller's agent, not the shortest one.
func TestServeCallShedRetryAfter(t *testing.T) {
	tests := map[string]struct {
		value string
		want  int64 // milliseconds
	}{
		"whole seconds": {"2", 2000},
		"fractions":     {"0.75", 750},
		"none":          {"", minRetryAfter.Milliseconds()},
		"zero":          {"0", minRetryAfter.Milliseconds()},
		"negative":      {"-3", minRetryAfter.Milliseconds()},
		"no number":     {"soon", minRetryAfter.Milliseconds()},
		"endless":       {"1e300", maxShedRetryAfter.Milliseconds()},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := startRawBackend(t)
			b.answer = func(string) string {
				return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nRetry-After: " + tc.value + "\r\nContent-Length: 0\r\n\r\n"
			}
			s := startServer(t, b.listener, 4, 8)
			in := newInbound("GET", "/diary", "1", nil, 0).serve(t, s)
			c.Assert(in.refusal, qt.IsNotNil)
			c.Check(in.refusal.Reason, qt.Equals, wire.ReasonShed)
			c.Check(in.refusal.RetryAfterMS, qt.Equals, tc.want)
		})
	}
}
