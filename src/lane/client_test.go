package lane_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/lane"
)

// A call that its own time-out ended is told from one that the store broke off: on incident a706 both read as EOF.
func TestErrorTellsWhoGaveUp(t *testing.T) {
	tests := map[string]struct {
		serve func(net.Conn)
		own   bool
	}{
		"silent store": {func(net.Conn) {}, true},
		"store closes": {func(c net.Conn) { _ = c.Close() }, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err == nil {
					tc.serve(conn)
				}
			}()
			client := &lane.Client{Addr: netip.MustParseAddrPort(l.Addr().String())}
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			req := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(req)
			req.SetRequestURI("http://store/a")
			err = client.Do(ctx, req, func(r *bufio.Reader) (bool, error) {
				_, err := r.ReadByte()
				return false, err
			})
			c.Assert(err, qt.Not(qt.IsNil))
			c.Assert(errors.Is(err, context.DeadlineExceeded), qt.Equals, tc.own, qt.Commentf("%v", err))
		})
	}
}
