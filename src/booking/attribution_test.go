package booking

import (
	"context"
	"fmt"
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
			s := b.start(c)
			got := []string{}
			for n := range tc.want {
				in := newInbound("GET", "/diary", "", nil, 0)
				in.head.TraceID = fmt.Sprint("r-", n+1)
				in.head.Fields = []wire.Field{{Name: "X-Call-Id", Value: in.head.TraceID}}
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				s.ServeCall(ctx, in)
				cancel()
				got = append(got, outcomeOf(in))
			}
			c.Check(got, qt.DeepEquals, tc.want)
			c.Check(int(b.connections.Load()), qt.Equals, tc.connections)
		})
	}
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
