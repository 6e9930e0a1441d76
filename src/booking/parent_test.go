package booking

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Calls made by a backend server are cancelled with their parent, but continue after the parent has been answered.
func TestParentCancelled(t *testing.T) {
	tests := map[string]struct{ cancelled bool }{
		"answered":         {},
		"parent cancelled": {cancelled: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw := startRawBackend(t)
			raw.healthFields = "Connection: close\r\n" // so that the call is not sent on a connection that is being closed
			s := startServer(t, raw.listener, 4, 8)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var p Parent
			raw.answer = func(head string) string {
				p, _ = s.Parent(field(head, ParentHeader))
				if tc.cancelled {
					cancel()
					<-p.Cancelled
				}
				return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			}
			in := newInbound("GET", "/diary", "t", nil, 0)
			s.ServeCall(ctx, in)
			c.Assert(in.complete, qt.Equals, !tc.cancelled)
			cancel()
			select {
			case <-p.Cancelled:
				c.Assert(tc.cancelled, qt.IsTrue)
			default:
				c.Assert(tc.cancelled, qt.IsFalse)
			}
		})
	}
}
