package booking

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against the refusal of an earlier request that a backend server writes once more: the request
// that runs meanwhile was told that it has not run, so that it ran twice.
func TestRefusalWrittenOnceMore(t *testing.T) {
	ok := func(id string) string {
		return "HTTP/1.1 200 OK\r\n" + idField(id) + "Content-Length: 2\r\n\r\nok"
	}
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + idField(id) + "X-Not-Run: 1\r\nRetry-After: 0.1\r\nContent-Length: 4\r\n\r\nfull"
	}
	tests := map[string]struct {
		answer      func(conn, request int, id string) string
		want        []string // of each request, in order
		connections int
	}{
		"with the ID of the earlier one": {
			answer: func(_, n int, id string) string {
				return map[int]string{1: ok(id), 2: refusal(id), 3: refusal("r-2") + ok(id)}[n]
			},
			want: []string{"200", "not run", "200"}, connections: 1,
		},
		"without an ID": {
			answer: func(_, n int, id string) string {
				return map[int]string{1: ok(id), 2: refusal(id), 3: refusal("") + ok(id)}[n]
			},
			want: []string{"200", "not run", "200"}, connections: 1,
		},
		"without an ID, the own answer never comes": {
			answer: func(_, n int, id string) string { return map[int]string{1: ok(id), 2: refusal("")}[n] },
			want:   []string{"200", "may have run"}, connections: 1,
		},
		"an answer without an ID": {
			answer: func(_, n int, id string) string { return map[int]string{1: ok(id), 2: ok("") + ok(id)}[n] },
			want:   []string{"200", "200"}, connections: 1,
		},
		"refusals never bear an ID": {
			answer: func(conn, n int, id string) string {
				if conn == 1 && n == 1 {
					return refusal("") + refusal("") // the second one would answer the next request on the connection
				}
				return ok(id)
			},
			want: []string{"not run", "200", "200"}, connections: 2,
		},
		"the server echoes no IDs": {
			answer: func(_, n int, _ string) string { return map[int]string{1: ok(""), 2: refusal(""), 3: ok("")}[n] },
			want:   []string{"200", "not run"}, connections: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := &scriptedBackend{answer: tc.answer}
			got, _ := serveInTurn(b.start(c), len(tc.want))
			c.Check(got, qt.DeepEquals, tc.want)
			c.Check(int(b.connections.Load()), qt.Equals, tc.connections)
		})
	}
}

// Guards against a second copy of an earlier answer, large or in chunks, that ends the run of the
// request behind it.
func TestCallBehindSecondCopy(t *testing.T) {
	sized := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", idField(id), len(body), body)
	}
	chunked := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", idField(id), len(body), body)
	}
	tests := map[string]struct {
		copy string
		want string
	}{
		"short":                    {sized("r-1", "early"), "200"},
		"large":                    {sized("r-1", strings.Repeat("e", 540_000)), "200"},
		"chunked":                  {chunked("r-1", "early"), "200"},
		"large chunk":              {chunked("r-1", strings.Repeat("e", 540_000)), "200"},
		"three":                    {strings.Repeat(sized("r-1", "early"), 3), "200"},
		"ever more":                {strings.Repeat(sized("r-1", "early"), 4), "may have run"},
		"without end":              {sized("r-1", strings.Repeat("e", maxSkippedSize)), "may have run"},
		"ends with its connection": {"HTTP/1.1 200 OK\r\n" + idField("r-1") + "\r\nearly", "may have run"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := &scriptedBackend{answer: func(_, n int, id string) string {
				if n == 1 {
					return sized(id, "first")
				}
				return tc.copy + sized(id, "second")
			}}
			got, last := serveInTurn(b.start(c), 2)
			c.Check(got, qt.DeepEquals, []string{"200", tc.want})
			c.Check(tc.want != "200" || last.answer.String() == "second", qt.IsTrue, qt.Commentf("%q", last.answer.String()))
		})
	}
}

// serveInTurn serves n requests, one after the other, and returns their outcomes and the last one.
func serveInTurn(s *Server, n int) (outcomes []string, last *fakeInbound) {
	for i := range n {
		last = newInbound("GET", "/diary", "", nil, 0)
		last.head.TraceID = fmt.Sprint("r-", i+1)
		last.head.Fields = []wire.Field{{Name: "X-Call-Id", Value: last.head.TraceID}}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		s.ServeCall(ctx, last)
		cancel()
		outcomes = append(outcomes, outcomeOf(last))
	}
	return outcomes, last
}

func idField(id string) string {
	if id == "" {
		return ""
	}
	return "X-Call-Id: " + id + "\r\n"
}

// outcomeOf returns the status of the answer to a call, or whether its refusal says that it has not run.
func outcomeOf(in *fakeInbound) string {
	switch {
	case in.refusal == nil:
		return fmt.Sprint(in.reply.Status)
	case in.refusal.MayHaveRun:
		return "may have run"
	}
	return "not run"
}
