package load_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/load"
)

func TestLoadCountsEachOutcome(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var n atomic.Int64
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		switch n.Add(1) % 4 {
		case 0:
			ctx.Response.Header.Set("yuccaport-outcome", "not-run")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		case 1:
			ctx.Response.Header.Set("yuccaport-outcome", "may-have-run")
			ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		case 2:
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	}}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	r := (&load.Load{
		Proxies: []netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()}, Method: "GET", Host: "bookings.example", Path: "/diary",
		Rate: 400, Duration: 100 * time.Millisecond, Timeout: 10 * time.Second,
	}).Run(context.Background())
	c.Assert(s.Shutdown(), qt.IsNil)
	c.Assert(<-done, qt.IsNil)
	c.Check(r.Calls, qt.Equals, 40)
	c.Check([]int{r.OK, r.NotRun, r.MayHaveRun, r.Failed}, qt.DeepEquals, []int{10, 10, 10, 10})
	c.Check(r.MaxMS >= r.P50MS, qt.IsTrue)
}
