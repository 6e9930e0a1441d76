package dispatch_test

import (
	"context"
	"io"
	"net"
	"os"
	"testing"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/logs"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

// BenchmarkProxyCall measures calls through a proxy, with and without a log and tenants; a function
// replaces links and backend servers. Guards against allocations for a key: without lines, a call
// with tenants has none more than one without.
func BenchmarkProxyCall(b *testing.B) {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = null.Close() }()
	loggers := map[string]logr.Logger{"lines": logs.New(null, logs.FormatJSON, 0), "no lines": logr.Discard()}
	for name, log := range loggers {
		b.Run(name, func(b *testing.B) { benchmarkProxyCall(b, log, nil) })
		b.Run(name+" with tenants", func(b *testing.B) {
			directory, err := tenants.NewDirectory([]tenants.Tenant{{Name: "acme", Keys: []tenants.Key{tenantKey}}})
			if err != nil {
				b.Fatal(err)
			}
			benchmarkProxyCall(b, log, directory)
		})
	}
}

func benchmarkProxyCall(b *testing.B, log logr.Logger, directory *tenants.Directory) {
	table, err := dispatch.NewTable(newSnapshot(bookingsDocument(diaryRoute)), roster.NewView(0, members(6)))
	if err != nil {
		b.Fatal(err)
	}
	table.Tenants = directory
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	p := &dispatch.Proxy{
		Listener: l, Log: log,
		Self:  func() wire.Member { return wire.Member{Domain: "mid-a"} },
		Table: func() *dispatch.Table { return table },
		Transport: transportFunc(func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
			return newReply(200, "whole")
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	client := &fasthttp.HostClient{Addr: l.Addr().String()}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://bookings.example/diary")
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
			b.Fatal(err, resp.StatusCode())
		}
	}
	client.CloseIdleConnections()
	cancel()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
