package dispatch_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/wire"
)

// transportFunc is a function that implements link.Caller, for Proxy.Transport.
type transportFunc func(ctx context.Context, to link.Peer, head wire.CallHead, body io.Reader) link.Outcome

func (f transportFunc) Call(ctx context.Context, to link.Peer, head wire.CallHead, body io.Reader) link.Outcome {
	return f(ctx, to, head, body)
}

func newReply(status uint16, body string, fields ...wire.Field) link.Outcome {
	h := wire.ReplyHead{Status: status, Fields: fields, BodyLength: int64(len(body)), Load: wire.Load{Free: 11, Slots: 12}}
	return link.Reply{Head: h, Body: io.NopCloser(strings.NewReader(body))}
}

func newRefusal(reason wire.RefusalReason, mayHaveRun bool) link.Outcome {
	return link.Refused{Refusal: wire.Refusal{Reason: reason, MayHaveRun: mayHaveRun, RetryAfterMS: 1500}}
}

func members(n int) []wire.Member {
	out := []wire.Member{}
	for i := range n {
		out = append(out, wire.Member{ID: uint64(i + 1), Service: "bookings", Domain: "mid-a", Slots: 12, Ready: true})
	}
	return out
}

// testProxy is a running Proxy and its URL.
type testProxy struct {
	*dispatch.Proxy
	url    string
	cancel context.CancelFunc
	done   chan error
}

// leaksChecked holds the names of the tests that already check for leaked goroutines.
var leaksChecked sync.Map

// checkLeaks checks for leaked goroutines after everything that the test has started is stopped.
func checkLeaks(t *testing.T) {
	if _, ok := leaksChecked.LoadOrStore(t.Name(), true); ok {
		return
	}
	t.Cleanup(func() {
		leaksChecked.Delete(t.Name())
		http.DefaultClient.CloseIdleConnections()
		// The HTTP library keeps one goroutine for its clock in each process.
		goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
	})
}

// startProxy runs a proxy with three members of bookings until the test ends.
func startProxy(t *testing.T, route document.Route, transport transportFunc, options ...func(*dispatch.Proxy)) *testProxy {
	t.Helper()
	checkLeaks(t)
	c := qt.New(t)
	table, err := dispatch.NewTable(newSnapshot(bookingsDocument(route)), roster.NewView(0, members(3)))
	c.Assert(err, qt.IsNil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &testProxy{url: "http://" + l.Addr().String(), done: make(chan error, 1)}
	p.Proxy = &dispatch.Proxy{
		Listener: l, Transport: transport, Log: logr.Discard(), Metrics: metrics.NewSet(), Grace: 5 * time.Second,
		Self:  func() wire.Member { return wire.Member{Domain: "mid-a"} },
		Table: func() *dispatch.Table { return table },
	}
	for _, o := range options {
		o(p.Proxy)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		c.Check(<-p.done, qt.IsNil)
		p.checkAccount(c)
	})
	return p
}

// checkAccount checks that each request has ended once, in a known way, once none is in flight.
func (p *testProxy) checkAccount(c *qt.C) {
	c.Helper()
	calls := p.Metrics.GetOrCreateCounter("yuccaport_dispatch_calls_total").Get()
	sum := uint64(0)
	for labels, n := range p.countersOf("yuccaport_dispatch_requests_ended_total") {
		sum += n
		c.Check(labels, qt.Not(qt.Contains), "unknown")
	}
	c.Check(sum, qt.Equals, calls, qt.Commentf("%v", p.countersOf("yuccaport_dispatch_requests_ended_total")))
	for labels := range p.countersOf("yuccaport_dispatch_connections_closed_total") {
		c.Check(labels, qt.Not(qt.Contains), "unknown")
	}
}

// countersOf returns the counters of one name by their labels.
func (p *testProxy) countersOf(name string) map[string]uint64 {
	out := map[string]uint64{}
	for _, full := range p.Metrics.ListMetricNames() {
		if labels, ok := strings.CutPrefix(full, name+"{"); ok {
			out[strings.TrimSuffix(labels, "}")] = p.Metrics.GetOrCreateCounter(full).Get()
		}
	}
	return out
}

// response is what a caller has received.
type response struct {
	status int
	header http.Header
	body   string
}

// do sends a request and returns the complete response.
func (p *testProxy) do(method, path string, body io.Reader, fields ...string) (response, error) {
	req, err := http.NewRequest(method, p.url+path, body)
	if err != nil {
		return response{}, err
	}
	req.Host = "bookings.example"
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b)}, err
}

// TestProxyAnswers checks the status, outcome and body with which requests are answered: by a backend server, or by the proxy if none has answered.
func TestProxyAnswers(t *testing.T) {
	large := bytes.Repeat([]byte("photo"), 200_000)
	tests := map[string]struct {
		method, path string
		body         []byte
		answer       link.Outcome
		status       int
		outcome      string
		want         string
	}{
		"answer":       {"GET", "/diary", nil, newReply(200, "whole"), 200, "", "whole"},
		"backend 500":  {"GET", "/diary", nil, newReply(500, "fault"), 500, "", "fault"},
		"upload":       {"POST", "/diary", large, nil, 200, "", "1000000 bytes"},
		"not run":      {"POST", "/diary", nil, newRefusal(wire.ReasonQueueFull, false), 503, "not-run", `{"reason":"queue_full".*"retry_after_ms":1500}\n`},
		"may have run": {"POST", "/diary", nil, newRefusal(wire.ReasonLinkLost, true), 502, "may-have-run", `{"reason":"link_lost".*}\n`},
		"no route":     {"GET", "/other", nil, nil, 404, "not-run", `{"reason":"no_route".*}\n`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := startProxy(t, document.Route{Name: "diary", Prefix: "/diary"}, func(_ context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
				if tc.body == nil {
					return tc.answer
				}
				got, err := io.ReadAll(body)
				c.Check(err, qt.IsNil)
				c.Check(bytes.Equal(got, tc.body), qt.IsTrue)
				return newReply(200, "1000000 bytes")
			})
			got, err := p.do(tc.method, tc.path, bytes.NewReader(tc.body))
			c.Assert(err, qt.IsNil)
			c.Check(got.status, qt.Equals, tc.status)
			c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, tc.outcome)
			c.Check(got.body, qt.Matches, tc.want)
			if tc.status == 503 {
				c.Check(got.header.Get("retry-after"), qt.Equals, "2")
			}
		})
	}
}
