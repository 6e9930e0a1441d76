package dispatch_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestRejectedRequests checks that an ambiguous or too large request is rejected, and that neither it nor a second one smuggled in it runs.
func TestRejectedRequests(t *testing.T) {
	smuggled := "POST /diary/hidden HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 0\r\n\r\n"
	chunked := "0\r\n\r\n" + smuggled
	tests := map[string]struct {
		request string
		status  int
	}{
		"length and chunks":      {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, 400},
		"chunks and length":      {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + chunked, 400},
		"identity and length":    {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nTransfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n" + smuggled, 400},
		"another encoding":       {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunked, 400},
		"two lengths":            {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 0\r\nContent-Length: 80\r\n\r\n" + smuggled, 400},
		"signed length":          {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: +0\r\n\r\n" + smuggled, 400},
		"space before the colon": {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length : 80\r\n\r\n" + smuggled, 400},
		"folded line":            {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nX-A: b\r\n Content-Length: 80\r\n\r\n" + smuggled, 400},
		"two hosts":              {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nHost: other.example\r\nContent-Length: 0\r\n\r\n" + smuggled, 400},
		"no host":                {"POST /diary HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + smuggled, 400},
		"absolute URI as target": {"GET http://bookings.example/diary HTTP/1.1\r\nHost: bookings.example\r\n\r\n" + smuggled, 400},
		"target without a slash": {"GET diary HTTP/1.1\r\nHost: bookings.example\r\n\r\n" + smuggled, 400},
		"header too large":       {"GET /diary HTTP/1.1\r\nHost: bookings.example\r\nX-A: " + strings.Repeat("x", 3000) + "\r\n\r\n" + smuggled, 431},
		"body too large":         {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: 100000\r\n\r\n" + smuggled, 413},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var mu sync.Mutex
			ran := []string{}
			p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
				mu.Lock()
				defer mu.Unlock()
				ran = append(ran, h.URI)
				return newReply(200, "")
			}, func(p *dispatch.Proxy) {
				p.Limits = func() dispatch.Limits { return dispatch.Limits{HeaderBytes: 2048, BodyBytes: 1000} }
			})
			conn := p.sendRaw(c, tc.request)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, tc.status)
			_, err = io.Copy(io.Discard, conn)
			c.Check(err, qt.IsNil, qt.Commentf("the connection is closed"))
			mu.Lock()
			defer mu.Unlock()
			c.Check(ran, qt.HasLen, 0)
		})
	}
}

// TestRouteByRawPath checks that the route is chosen by the path as sent, since the backend server receives it unchanged.
func TestRouteByRawPath(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
	}{
		"plain":            {"/diary/a", 200},
		"with a query":     {"/diary/a?x=/deposits", 200},
		"dots":             {"/diary/../deposits", 200},
		"dots to a route":  {"/deposits/../diary/a", 404},
		"doubled slash":    {"//diary/a", 404},
		"escaped letter":   {"/di%61ry/a", 404},
		"prefix of a word": {"/diaryx", 404},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sent := ""
			p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
				sent = h.URI
				return newReply(200, "")
			})
			conn := p.sendRaw(c, "GET "+tc.path+" HTTP/1.1\r\nHost: bookings.example\r\nConnection: close\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, tc.status)
			if tc.status == 200 {
				c.Check(sent, qt.Equals, tc.path)
			}
		})
	}
}

// TestConnectionTimeouts checks that a slow header is answered with 408 and that an idle connection is closed.
func TestConnectionTimeouts(t *testing.T) {
	tests := map[string]struct {
		request string
		limits  dispatch.Limits
		want    string
	}{
		"slow header": {"GET /diary HTTP/1.1\r\nHost: boo", dispatch.Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: time.Minute}, "HTTP/1.1 408"},
		"idle":        {"", dispatch.Limits{HeaderTimeout: time.Minute, IdleTimeout: 50 * time.Millisecond}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := startProxy(t, diaryRoute, func(context.Context, link.Peer, wire.CallHead, io.Reader) link.Outcome { return newReply(200, "") },
				func(p *dispatch.Proxy) { p.Limits = func() dispatch.Limits { return tc.limits } })
			conn := p.sendRaw(c, tc.request)
			b, err := io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
			c.Check(strings.HasPrefix(string(b), tc.want), qt.IsTrue, qt.Commentf("%q", b))
		})
	}
}

// TestHeaderNames checks configured header names: the caller's deadline bounds the call and does not end it sooner, its request ID is passed on and returned, and it cannot forge the calling service.
func TestHeaderNames(t *testing.T) {
	c := qt.New(t)
	names := header.Names{RequestID: "X-Call-Id", Deadline: "X-Left-Ms", Caller: "X-From", Expect: "X-Meant", Fractions: true}
	var head wire.CallHead
	var began time.Time
	var took time.Duration
	refuse := false
	p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
		head, took = h, time.Since(began)
		if refuse {
			return link.Refused{Refusal: wire.Refusal{Reason: wire.ReasonLimit, RetryAfterMS: 250}}
		}
		return newReply(200, "")
	}, func(p *dispatch.Proxy) {
		p.Headers = names
		p.Self = func() wire.Member { return wire.Member{Domain: "mid-a", Service: "bookings"} }
	})
	fields := []string{"X-Call-Id", "r-1", "X-Left-Ms", "400", "X-From", "forged", "X-Meant", "forged"}
	began = time.Now()
	got, err := p.do("GET", "/diary", nil, fields...)
	c.Assert(err, qt.IsNil)
	c.Check(got.header.Get("X-Call-Id"), qt.Equals, "r-1")
	c.Check(head.TraceID, qt.Equals, "r-1")
	c.Check(head.Caller, qt.Equals, "bookings")
	c.Check(head.TimeoutMS <= 400, qt.IsTrue)
	c.Check(took+time.Duration(head.TimeoutMS)*time.Millisecond >= 400*time.Millisecond, qt.IsTrue)
	sent := map[string]string{}
	for _, f := range head.Fields {
		sent[f.Name] = f.Value
	}
	c.Check(sent["X-Call-Id"], qt.Equals, "r-1")
	for _, name := range []string{"X-From", "X-Meant", "X-Left-Ms"} {
		c.Check(sent[name], qt.Equals, "")
	}
	refuse = true
	got, err = p.do("GET", "/diary", nil, fields...)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.header.Get("Retry-After"), qt.Equals, "0.250")
}
