package dispatch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/report"
	"github.com/yuccaport/yuccaport/src/wire"
)

// TestEnds checks how each kind of request is counted and logged when it ends, and why its
// connection is closed.
func TestEnds(t *testing.T) {
	const get = "GET /diary HTTP/1.1\r\nHost: bookings.example\r\n\r\n"
	const chunked = "POST /diary HTTP/1.1\r\nHost: bookings.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	const upload = "POST /diary HTTP/1.1\r\nHost: bookings.example\r\nContent-Length: "
	leave := func(_ *testProxy, conn net.Conn) { _ = conn.Close() }
	kill := func(p *testProxy, _ net.Conn) { p.Kill() }
	stop := func(p *testProxy, _ net.Conn) { p.cancel() }
	streamed := func(err error) func(context.Context) link.Outcome {
		return func(ctx context.Context) link.Outcome {
			return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: 64 << 20}, Body: &endingBody{ctx, io.LimitReader(endless{}, 32<<20), err}}
		}
	}
	refused := func(r wire.RefusalReason, mayHaveRun bool) func(context.Context) link.Outcome {
		return func(context.Context) link.Outcome { return newRefusal(r, mayHaveRun) }
	}
	answered := func(status uint16) func(context.Context) link.Outcome {
		return func(context.Context) link.Outcome { return newReply(status, "answer") }
	}
	running := func(ctx context.Context) link.Outcome {
		<-ctx.Done()
		return newRefusal(wire.ReasonCancelled, true)
	}
	tests := map[string]struct {
		request string
		answer  func(context.Context) link.Outcome
		then    func(*testProxy, net.Conn) // once the request has been sent
		reads   bool
		ended   string // end, whether sent, by whom, whether stopping; empty for no request
		closed  string // reason, whether in flight; empty if the test ends the connection
		logged  bool
	}{
		"answered":            {request: get, answer: answered(200), ended: "answered true  false"},
		"failure":             {request: get, answer: answered(500), ended: "answered_server_failure true  false"},
		"last request":        {request: strings.Replace(get, "\r\n", "\r\nConnection: close\r\n", 1), answer: answered(200), ended: "answered true  false", closed: "requested false"},
		"refused":             {request: get, answer: refused(wire.ReasonQueueFull, false), ended: "refused_not_run true refusal false"},
		"may have run":        {request: get, answer: refused(wire.ReasonCut, true), ended: "refused_may_have_run true backend false", logged: true},
		"timeout":             {request: get, answer: refused(wire.ReasonTimeout, true), ended: "timeout true timeout false", logged: true},
		"no route":            {request: strings.Replace(get, "diary", "other", 1), ended: "rejected false refusal false"},
		"two hosts":           {request: strings.Replace(get, "\r\n", "\r\nHost: a.example\r\n", 1), ended: "rejected false refusal false", closed: "malformed false"},
		"unreadable":          {request: "GET /diary HTTP/1.1\r\nHost bookings\r\n\r\n", ended: "rejected false refusal false", closed: "malformed false"},
		"header too large":    {request: strings.Replace(get, "\r\n", "\r\nX-A: "+strings.Repeat("d", 33<<10)+"\r\n", 1), ended: "rejected false refusal false", closed: "header_too_large false"},
		"half a header":       {request: get[:30], ended: "refused_not_run false refusal false", closed: "header_timeout false"},
		"idle":                {closed: "idle_timeout false"},
		"unused":              {then: leave, closed: "caller false"},
		"body too large":      {request: upload + "100000000\r\n\r\npart", ended: "rejected false refusal false", closed: "body_unread false"},
		"endless extension":   {request: chunked + "1;" + strings.Repeat("x", 100<<10), ended: "rejected false refusal false", closed: "body_overhead false"},
		"refused upload":      {request: upload + "500000\r\n\r\n" + strings.Repeat("x", 70<<10), answer: refused(wire.ReasonQueueFull, false), ended: "refused_not_run true refusal false", closed: "body_unread false"},
		"stalled upload":      {request: upload + "9\r\n\r\npart", ended: "rejected false refusal false", closed: "stall false"},
		"left":                {request: get, answer: running, then: leave, ended: "caller_left true caller false", closed: "caller true", logged: true},
		"left, further ones":  {request: get + pipelined(5), answer: running, then: leave, ended: "caller_left true caller false", closed: "caller true", logged: true},
		"left while answered": {request: get, answer: streamed(nil), then: leave, ended: "caller_left true caller false", closed: "caller true", logged: true},
		"reads nothing":       {request: get, answer: streamed(io.EOF), ended: "caller_stalled true caller false", closed: "stall true", logged: true},
		"server broke off":    {request: get, answer: streamed(io.ErrUnexpectedEOF), reads: true, ended: "cut true backend false", closed: "answer_truncated true", logged: true},
		"link lost":           {request: get, answer: streamed(&link.LostError{By: cut.LinkLost, Cause: io.EOF}), reads: true, ended: "cut true link_lost false", closed: "answer_truncated true", logged: true},
		"too large, sent":     {request: chunked + "200000\r\n" + strings.Repeat("x", 2<<20) + "\r\n0\r\n\r\n", answer: running, ended: "cut true refusal false", closed: "body_unread true", logged: true},
		"stalled, sent":       {request: chunked + "200000\r\n" + strings.Repeat("x", 100<<10), answer: running, ended: "caller_stalled true caller false", closed: "stall true", logged: true},
		"left in its upload":  {request: chunked + "200000\r\n" + strings.Repeat("x", 100<<10), answer: running, then: leave, ended: "caller_left true caller false", closed: "caller true", logged: true},
		"killed":              {request: get, answer: running, then: kill, ended: "cut true kill_timer false", closed: "killed true", logged: true},
		"grace ended":         {request: get, answer: running, then: stop, ended: "refused_may_have_run true proxy_grace true", closed: "stop false", logged: true},
		"grace ended, answer": {request: get, answer: streamed(nil), then: stop, reads: true, ended: "cut true proxy_grace true", closed: "grace_ended true", logged: true},
		"too many behind":     {request: get + strings.Repeat("x", 100<<10), answer: func(ctx context.Context) link.Outcome { time.Sleep(200 * time.Millisecond); return answered(200)(ctx) }, ended: "answered true  false", closed: "pipeline_overflow false"},
		"parent ended":        {request: strings.Replace(get, "\r\n", "\r\nYuccaport-Parent: ended\r\n", 1), answer: running, ended: "parent_ended true parent false", closed: "parent_ended true", logged: true},
		"stop, idle":          {then: stop, closed: "stop false"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var mu sync.Mutex
			var lines []string
			var log string
			route := diaryRoute
			route.Retry.Attempts = 1
			started := make(chan struct{}, 100)
			p := startProxy(t, route, func(ctx context.Context, _ link.Peer, h wire.CallHead, body io.Reader) link.Outcome {
				started <- struct{}{}
				if h.BodyLength < 0 {
					if _, err := io.Copy(io.Discard, body); err != nil {
						return newRefusal(wire.ReasonCancelled, true)
					}
				}
				return tc.answer(ctx)
			}, func(p *dispatch.Proxy) {
				p.Grace, p.StallTimeout = 300*time.Millisecond, 300*time.Millisecond
				p.Limits = func() dispatch.Limits {
					return dispatch.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 600 * time.Millisecond, BodyBytes: 1 << 20}
				}
				done := make(chan struct{})
				time.AfterFunc(100*time.Millisecond, func() { close(done) })
				p.LookupParent = func(string) (dispatch.Parent, bool) { return dispatch.Parent{Done: done}, true }
				p.Log = funcr.NewJSON(func(text string) {
					mu.Lock()
					defer mu.Unlock()
					text = strings.Replace(text, `"logger":""`, `"time":"2026-03-01T10:00:00Z","logger":"dispatch"`, 1)
					log += text + "\n"
					if strings.Contains(text, `"request cut"`) {
						lines = append(lines, text)
					}
				}, funcr.Options{})
			})
			conn := p.sendRaw(c, tc.request)
			if tc.reads {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
			if tc.then != nil {
				if tc.request != "" {
					waitFor(c, started, "the call")
				}
				time.Sleep(50 * time.Millisecond)
				tc.then(p, conn)
			}
			closed := func() []string { return p.nonZero("yuccaport_dispatch_connections_closed_total") }
			ended := func() []string { return p.nonZero("yuccaport_dispatch_requests_ended_total") }
			for start := time.Now(); time.Since(start) < testTimeout; time.Sleep(time.Millisecond) {
				if len(ended()) > 0 == (tc.ended != "") && (tc.closed == "" || len(closed()) > 0) {
					break
				}
			}
			want := []string{}
			if tc.ended != "" {
				want = append(want, tc.ended)
			}
			c.Check(ended(), qt.DeepEquals, want)
			if tc.closed != "" {
				c.Check(closed(), qt.DeepEquals, []string{tc.closed})
			}
			mu.Lock()
			defer mu.Unlock()
			b := &report.Builder{}
			c.Assert(b.Read(strings.NewReader(log)), qt.IsNil)
			account := b.Report().Account // of the log, which must agree with the counters
			c.Check(account.Open+account.Unbegun, qt.Equals, 0, qt.Commentf("%s", log))
			logged := []string{}
			for _, e := range account.Ends {
				logged = append(logged, fmt.Sprint(e.End, " ", e.Sent == 1, " ", e.By, " ", e.Stopping == 1))
			}
			wantLogged := tc.ended
			if !tc.logged { // a line tells why, not by whom
				wantLogged = strings.Replace(tc.ended, " refusal ", "  ", 1)
			}
			c.Check(strings.Join(logged, ", "), qt.Equals, wantLogged, qt.Commentf("%s", log))
			c.Check(len(lines) > 0, qt.Equals, tc.logged, qt.Commentf("%v", lines))
			if tc.logged {
				c.Check(lines[0], qt.Contains, fmt.Sprintf(`"end":%q,"sent":true`, strings.Fields(tc.ended)[0]))
			}
		})
	}
}

// endless is an endless stream of bytes.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// nonZero returns the label values of the counters of one name that are not zero, in the order of the labels.
func (p *testProxy) nonZero(name string) []string {
	out := []string{}
	for labels, n := range p.countersOf(name) {
		values := []string{}
		for label := range strings.SplitSeq(labels, ",") {
			_, v, _ := strings.Cut(label, "=")
			values = append(values, strings.Trim(v, `"`))
		}
		if n > 0 {
			out = append(out, strings.Join(values, " "))
		}
	}
	slices.Sort(out)
	return out
}

// Guards against an answer that waits for a further request, and is lost with it, since both requests
// arrived at once, one of them behind the body of the other.
func TestAnswerBeforeFurtherRequest(t *testing.T) {
	const head = "POST /diary HTTP/1.1\r\nHost: bookings.example\r\n"
	tests := map[string]struct {
		body   string
		length int64 // of the further answer, of which 50 bytes come
		want   []string
		chunk  int // bytes of each chunk, 0 for a body with a length
	}{
		"one byte":            {"b", 50, []string{"answered true  false"}, 0},
		"short":               {"body", 50, []string{"answered true  false"}, 0},
		"long":                {strings.Repeat("b", 10_000), 50, []string{"answered true  false"}, 0},
		"longer than is held": {strings.Repeat("b", 300_000), 50, []string{"answered true  false"}, 0},
		"further one cut":     {"body", 1 << 20, []string{"answered true  false", "cut true backend false"}, 0},
		"chunk":               {"body", 50, []string{"answered true  false"}, 4},
		"many chunks":         {strings.Repeat("b", 1000), 50, []string{"answered true  false"}, 17},
		"long chunks":         {strings.Repeat("\r\n0\r\n\r\n", 30_000), 50, []string{"answered true  false"}, 70_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			release := make(chan struct{})
			p := startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, h wire.CallHead, body io.Reader) link.Outcome {
				if h.Method == "POST" {
					b, err := io.ReadAll(body)
					c.Check(err, qt.IsNil)
					c.Check(string(b) == tc.body, qt.IsTrue)
					return newReply(200, "answer")
				}
				<-release
				return link.Reply{Head: wire.ReplyHead{Status: 200, BodyLength: tc.length}, Body: io.NopCloser(io.LimitReader(endless{}, 50))}
			})
			body := "Content-Length: " + strconv.Itoa(len(tc.body)) + "\r\n\r\n" + tc.body
			if tc.chunk > 0 {
				body = "Transfer-Encoding: chunked\r\n\r\n"
				for part := range slices.Chunk([]byte(tc.body), tc.chunk) {
					body += fmt.Sprintf("%x;name=value\r\n%s\r\n", len(part), part)
				}
				body += "0\r\nX-Trailer: 1\r\n\r\n"
			}
			conn := p.sendRaw(c, head+body+pipelined(1))
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			close(release)
			c.Assert(err, qt.IsNil)
			b, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			c.Check(err, qt.IsNil)
			c.Check(string(b), qt.Equals, "answer")
			c.Check(readAnswers(conn, 1), qt.HasLen, map[bool]int{true: 1}[tc.length == 50])
			for start := time.Now(); time.Since(start) < testTimeout && len(p.nonZero("yuccaport_dispatch_requests_ended_total")) < len(tc.want); time.Sleep(time.Millisecond) {
			}
			c.Check(p.nonZero("yuccaport_dispatch_requests_ended_total"), qt.DeepEquals, tc.want)
		})
	}
}
