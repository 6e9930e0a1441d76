package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

const testTimeout = 10 * time.Second // ends a test that hangs

var diaryRoute = document.Route{Name: "diary", Prefix: "/diary", Retry: document.Retry{Attempts: 2}}

// sendRaw sends bytes on a new connection.
func (p *testProxy) sendRaw(c *qt.C, request string) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	return conn
}

func waitFor(c *qt.C, done <-chan struct{}, what string) {
	c.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		c.Fatalf("%s did not happen within %s", what, testTimeout)
	}
}

// TestNotRunRetriedElsewhere checks that a call refused as not run is sent to another member, with its body.
func TestNotRunRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	to, bodies := []uint64{}, []string{}
	p := startProxy(t, diaryRoute, func(_ context.Context, peer link.Peer, head wire.CallHead, body io.Reader) link.Outcome {
		b, _ := io.ReadAll(body)
		mu.Lock()
		defer mu.Unlock()
		to, bodies = append(to, peer.ID), append(bodies, string(b))
		if len(to) == 1 {
			return newRefusal(wire.ReasonLeaving, false)
		}
		return newReply(201, "booked")
	})
	got, err := p.do("POST", "/diary", strings.NewReader("tuesday"))
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 201)
	c.Check(bodies, qt.DeepEquals, []string{"tuesday", "tuesday"})
	c.Check(to[0], qt.Not(qt.Equals), to[1])
}

// TestDoubt checks that a call whose first attempt is doubted gets the answer of a second one, and that the first is then cancelled.
func TestDoubt(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan struct{})
	p := startProxy(t, diaryRoute, func(ctx context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
		if h.Attempt > 1 {
			return newReply(200, "second")
		}
		link.ContextDoubt(ctx)(link.DoubtLost)
		<-ctx.Done()
		close(cancelled)
		return newRefusal(wire.ReasonCancelled, true)
	})
	got, err := p.do("GET", "/diary", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.body, qt.Equals, "second")
	<-cancelled
}

// TestHeaderFields checks that neither callers nor backend servers can set reserved header fields, that hop-by-hop fields are not passed on, and that the call's head describes its parent.
func TestHeaderFields(t *testing.T) {
	c := qt.New(t)
	var head wire.CallHead
	parent := dispatch.Parent{TraceID: "t-1", Depth: 2, MayRetryAfterRun: true}
	p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
		head = h
		return newReply(200, "", wire.Field{Name: "Yuccaport-Outcome", Value: "forged"}, wire.Field{Name: "X-Kept", Value: "1"})
	}, func(p *dispatch.Proxy) {
		p.LookupParent = func(token string) (dispatch.Parent, bool) { return parent, token == "secret" }
	})
	got, err := p.do("GET", "/diary", nil, "Yuccaport-Parent", "secret", "yuccaport-outcome", "not-run", "X-Own", "1", "Connection", "X-Hop", "X-Hop", "1")
	c.Assert(err, qt.IsNil)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "")
	c.Check(got.header.Get("x-kept"), qt.Equals, "1")
	names := []string{}
	for _, f := range head.Fields {
		names = append(names, f.Name)
	}
	c.Check(names, qt.Contains, "X-Own")
	for _, n := range names {
		c.Check(strings.HasPrefix(n, "Yuccaport-") || n == "X-Hop" || n == "Connection", qt.IsFalse, qt.Commentf("%s", n))
	}
	c.Check(head.TraceID, qt.Equals, "t-1")
	c.Check(head.Depth, qt.Equals, uint8(3))
	c.Check(head.RetryLayer, qt.IsTrue)
}

// TestParentDeadline checks that a call is refused after the deadline of its parent.
func TestParentDeadline(t *testing.T) {
	c := qt.New(t)
	p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		return newReply(200, "")
	}, func(p *dispatch.Proxy) {
		p.LookupParent = func(string) (dispatch.Parent, bool) {
			return dispatch.Parent{Deadline: time.Now().Add(-time.Second)}, true
		}
	})
	got, err := p.do("GET", "/diary", nil, "Yuccaport-Parent", "x")
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.body, qt.Matches, `{"reason":"deadline","outcome":"not-run".*\n`)
}

// TestAttemptTimeout checks that a write that a backend server does not answer in time is refused with 504 and may-have-run.
func TestAttemptTimeout(t *testing.T) {
	c := qt.New(t)
	route := diaryRoute
	route.Timeout = document.Duration(50 * time.Millisecond)
	p := startProxy(t, route, func(ctx context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
		<-ctx.Done()
		return newRefusal(wire.ReasonCancelled, true)
	})
	got, err := p.do("POST", "/diary", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 504)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "may-have-run")
}

// TestGracefulShutdown checks that a graceful shutdown closes idle connections and lets the requests in flight finish.
func TestGracefulShutdown(t *testing.T) {
	c := qt.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		close(running)
		<-release
		return newReply(200, "whole")
	})
	idle := p.sendRaw(c, "")
	answers := make(chan string, 1)
	go func() {
		got, err := p.do("GET", "/diary", nil)
		answers <- fmt.Sprint(got.status, got.body, err)
	}()
	<-running
	p.cancel()
	_, err := idle.Read(make([]byte, 1)) // the idle connection is closed first
	c.Check(errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
	close(release)
	c.Check(<-answers, qt.Equals, "200whole<nil>")
}

// TestRecordAndReplay checks that a replay of the calls recorded by a proxy gives the recorded actions.
func TestRecordAndReplay(t *testing.T) {
	c := qt.New(t)
	var buf bytes.Buffer
	var n atomic.Int64
	p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		if n.Add(1)%5 == 0 {
			return newRefusal(wire.ReasonQueueFull, false)
		}
		return newReply(200, "whole")
	}, func(p *dispatch.Proxy) {
		p.Record = &trace.Recorder{W: &buf, Header: trace.Header{Core: dispatch.CoreName, Seed: 7}}
	})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 20 {
				_, err := p.do("GET", "/diary", nil)
				c.Check(err, qt.IsNil)
			}
		})
	}
	wg.Wait()
	p.Explain("bookings.example", "/diary", "GET") // draws no random numbers
	c.Assert(p.Record.Err(), qt.IsNil)
	tr, err := trace.Read(&buf)
	c.Assert(err, qt.IsNil)
	c.Assert(len(tr.Entries) >= 80*3, qt.IsTrue, qt.Commentf("%d", len(tr.Entries)))
	core, err := dispatch.NewReplay(tr.Header)
	c.Assert(err, qt.IsNil)
	c.Assert(tr.Run(core), qt.IsNil)
}

// TestExplain checks the explanation for a request with a route and for one without.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome { return newReply(200, "") })
	explanation := p.Explain("bookings.example", "/diary/7", "GET")
	c.Check(explanation.Reason, qt.Equals, "same_domain")
	c.Check(explanation.Route, qt.Equals, "diary")
	c.Check(explanation.Idempotent, qt.IsTrue)
	c.Check(explanation.Candidates, qt.HasLen, 3)
	c.Check(explanation.Choice != 0, qt.IsTrue)
	c.Check(p.Explain("bookings.example", "/other", "GET").Reason, qt.Equals, "no_route")
}

// TestStartBeforeTable checks that a request sent before there is a table is answered once there is one.
func TestStartBeforeTable(t *testing.T) {
	c := qt.New(t)
	var lookups atomic.Int64
	p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome {
		return newReply(200, "whole")
	}, func(p *dispatch.Proxy) {
		table := p.Table
		p.StartTimeout = testTimeout
		p.Table = func() *dispatch.Table {
			if lookups.Add(1) < 20 {
				return nil
			}
			return table()
		}
	})
	got, err := p.do("GET", "/diary", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 200)
}

// TestNotReady checks that a proxy without a table refuses requests as not run.
func TestNotReady(t *testing.T) {
	c := qt.New(t)
	p := startProxy(t, diaryRoute, nil, func(p *dispatch.Proxy) {
		p.StartTimeout, p.Table = time.Millisecond, func() *dispatch.Table { return nil }
	})
	got, err := p.do("GET", "/diary", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.header.Get("yuccaport-outcome"), qt.Equals, "not-run")
	c.Check(p.Explain("bookings.example", "/diary", "GET").Reason, qt.Equals, "not_ready")
}
