package dispatch_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Beyond the bounds of memory and connections, a request is refused as not run, and served again once there is room.
func TestBounds(t *testing.T) {
	const request = "GET /diary HTTP/1.1\r\nHost: bookings.example\r\n\r\n"
	const upload = "POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 1000000\r\n\r\n"
	tests := map[string]struct {
		set     func(*dispatch.Proxy)
		first   string // takes what there is
		second  string
		refused bool
	}{
		"memory for one body": {func(p *dispatch.Proxy) { p.Memory = 100 << 10 }, upload + "x", upload + "x", true},
		"memory, no body":     {func(p *dispatch.Proxy) { p.Memory = 100 << 10 }, upload + "x", request, false},
		"connection in use":   {func(p *dispatch.Proxy) { p.Conns = 1 }, upload + "x", request, true},
		"half a header":       {func(p *dispatch.Proxy) { p.Conns = 1 }, "GET /diary HTTP/1.1\r\n", request, true},
		"idle connection":     {func(p *dispatch.Proxy) { p.Conns = 1 }, "", request, false},
		"memory of buffers":   {func(p *dispatch.Proxy) { p.ConnMemory = 1 }, upload + "x", request, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			runs := make(chan struct{}, 8)
			p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
				runs <- struct{}{}
				if body != nil {
					_, _ = io.Copy(io.Discard, body)
				}
				return newReply(200, "ok")
			}, tc.set)
			first := p.sendRaw(c, tc.first)
			time.Sleep(300 * time.Millisecond) // for it to be read, or to count as idle
			c.Check(statusOf(c, p.sendRaw(c, tc.second)), qt.Equals, map[bool]int{false: 200, true: 503}[tc.refused])
			c.Check(len(runs), qt.Equals, map[bool]int{false: 1, true: 0}[tc.refused])
			_ = first.Close()
			for end := time.Now().Add(testTimeout); statusOf(c, p.sendRaw(c, request)) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
		})
	}
}

// statusOf returns the status of an answer, which states when to come back if it is a refusal.
func statusOf(c *qt.C, conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(strings.Contains(string(b), `"outcome":"not-run"`), qt.IsTrue, qt.Commentf("%s", b))
	}
	return resp.StatusCode
}
