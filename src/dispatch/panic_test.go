package dispatch_test

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against a panic under one request that ends the process, and all other requests with it, or
// that leaves its caller waiting.
func TestPanicEndsOneRequest(t *testing.T) {
	tests := map[string]struct {
		transport transportFunc
		set       func(p *dispatch.Proxy)
	}{
		"in an attempt": {
			transport: func(_ context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
				if h.Method == "POST" {
					panic("attempt")
				}
				return newReply(200, "ok")
			},
		},
		"in the handler": {
			transport: func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome { return newReply(200, "ok") },
			set: func(p *dispatch.Proxy) {
				p.LookupParent = func(string) (dispatch.Parent, bool) { panic("handler") }
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			options := []func(*dispatch.Proxy){}
			if tc.set != nil {
				options = append(options, tc.set)
			}
			p := startProxy(t, diaryRoute, tc.transport, options...)
			got, err := p.do("POST", "/diary", nil, "Yuccaport-Parent", "token")
			c.Assert(err, qt.IsNil)
			c.Check(got.status, qt.Equals, 502)
			got, err = p.do("GET", "/diary", nil)
			c.Assert(err, qt.IsNil)
			c.Check(got.status, qt.Equals, 200)
			c.Check(p.Metrics.GetOrCreateCounter("yuccaport_dispatch_panics_total").Get(), qt.Equals, uint64(1))
		})
	}
}
