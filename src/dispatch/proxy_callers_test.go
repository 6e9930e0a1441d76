package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestTruncatedUpload checks that a body does not reach the backend server as a complete one if the caller's connection is closed in the middle of it.
func TestTruncatedUpload(t *testing.T) {
	tests := map[string]string{
		"stated length": "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 70_000),
		"in a chunk":    "Transfer-Encoding: chunked\r\n\r\n13880\r\n" + strings.Repeat("x", 70_000),
		"after a chunk": "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70_000) + "\r\n",
	}
	for name, rest := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			arrived, read := make(chan struct{}), make(chan error, 1)
			p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
				close(arrived)
				_, err := io.Copy(io.Discard, body)
				read <- err
				return newRefusal(wire.ReasonCancelled, true)
			})
			conn := p.sendRaw(c, "PUT /diary HTTP/1.1\r\nHost: bookings.example\r\n"+rest)
			waitFor(c, arrived, "the call")
			_ = conn.Close()
			c.Assert(<-read, qt.IsNotNil)
		})
	}
}

// TestParentCancelled checks that a call whose parent is cancelled ends without an answer.
func TestParentCancelled(t *testing.T) {
	c := qt.New(t)
	done := make(chan struct{})
	p := startProxy(t, diaryRoute, func(ctx context.Context, _ link.Peer, _ wire.CallHead, _ io.Reader) link.Outcome {
		close(done)
		<-ctx.Done()
		return newRefusal(wire.ReasonCancelled, true)
	}, func(p *dispatch.Proxy) {
		p.LookupParent = func(string) (dispatch.Parent, bool) { return dispatch.Parent{Done: done}, true }
	})
	_, err := p.do("GET", "/diary", nil, "Yuccaport-Parent", "x")
	c.Assert(err, qt.IsNotNil)
}

// TestPipelinedRequest guards against the loss of the next request if its bytes arrive while a call runs.
func TestPipelinedRequest(t *testing.T) {
	c := qt.New(t)
	running, release := make(chan struct{}, 2), make(chan struct{})
	p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
		running <- struct{}{}
		<-release
		return newReply(200, head.URI)
	})
	conn := p.sendRaw(c, "GET /diary/1 HTTP/1.1\r\nHost: bookings.example\r\n\r\n")
	<-running
	time.Sleep(50 * time.Millisecond) // lets the background read start; the result must be the same without
	_, err := io.WriteString(conn, "GET /diary/2 HTTP/1.1\r\nHost: bookings.example\r\n\r\n")
	c.Assert(err, qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	close(release)
	r := bufio.NewReader(conn)
	for _, want := range []string{"/diary/1", "/diary/2"} {
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.Assert(err, qt.IsNil)
		c.Assert(string(b), qt.Equals, want)
	}
}

// TestUnreadBody checks that the unread rest of a refused upload is not run, although it looks like another request.
func TestUnreadBody(t *testing.T) {
	tests := map[string]string{"refused": "/diary", "no route": "/other"}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int64
			p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
				if head.URI == "/diary/smuggled" {
					calls.Add(1)
				}
				return newRefusal(wire.ReasonQueueFull, false)
			})
			inner := "GET /diary/smuggled HTTP/1.1\r\nHost: bookings.example\r\n\r\n"
			conn := p.sendRaw(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 400000\r\n\r\n%s", path, strings.Repeat("x", 65<<10)+inner))
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			c.Check(err, qt.IsNil)
			_ = resp.Body.Close()
			c.Check(resp.Close, qt.IsTrue)
			_, err = r.ReadByte()
			c.Check(err, qt.IsNotNil)
			c.Check(calls.Load(), qt.Equals, int64(0))
		})
	}
}

// closeNotifyBody is a long answer that reports when it is closed.
type closeNotifyBody struct {
	truncatedBody
	closed chan struct{}
}

func (b *closeNotifyBody) Close() error {
	close(b.closed)
	return nil
}

// TestStalledCaller checks that a caller that does not read its answer delays no other caller and is disconnected.
func TestStalledCaller(t *testing.T) {
	c := qt.New(t)
	long := &closeNotifyBody{truncatedBody: truncatedBody{remaining: 1 << 30}, closed: make(chan struct{})}
	p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, head wire.CallHead, _ io.Reader) link.Outcome {
		if head.URI == "/diary/long" {
			return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: 1 << 30}, Body: long}
		}
		return newReply(200, "whole")
	}, func(p *dispatch.Proxy) { p.StallTimeout = 300 * time.Millisecond })
	p.sendRaw(c, "GET /diary/long HTTP/1.1\r\nHost: bookings.example\r\n\r\n") // never reads the answer
	for range 20 {
		got, err := p.do("GET", "/diary", nil)
		c.Assert(err, qt.IsNil)
		c.Check(got.body, qt.Equals, "whole")
	}
	waitFor(c, long.closed, "the end of the stalled call")
}

// TestSlowUpload checks that an upload that takes longer than the route's timeout does not time out.
func TestSlowUpload(t *testing.T) {
	c := qt.New(t)
	route := diaryRoute
	route.Timeout = document.Duration(50 * time.Millisecond)
	p := startProxy(t, route, func(_ context.Context, _ link.Peer, _ wire.CallHead, body io.Reader) link.Outcome {
		n, err := io.Copy(io.Discard, body)
		return newReply(200, fmt.Sprint(n, err))
	})
	r, w := io.Pipe()
	go func() {
		for range 20 {
			_, _ = w.Write(make([]byte, 5_000))
			time.Sleep(15 * time.Millisecond)
		}
		_ = w.Close()
	}()
	got, err := p.do("POST", "/diary", r)
	c.Assert(err, qt.IsNil)
	c.Check(got.body, qt.Equals, "100000 <nil>")
}
