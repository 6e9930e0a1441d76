package booking

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRunEnds checks who is said to have ended a run whose answer was not passed on.
func TestRunEnds(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: "
	tests := map[string]struct {
		answer string
		cause  error // with which the call is cancelled once its request has been sent, nil for none
		closes bool
		want   runEnder
	}{
		"answered":             {answer: head + "2\r\n\r\nok"},
		"closed":               {closes: true, want: endedByBackend},
		"closed in the answer": {answer: head + "9\r\n\r\npart", closes: true, want: endedByBackend},
		"closed in a long one": {answer: head + "9000000\r\n\r\npart", closes: true, want: endedByBackend},
		"no answer":            {answer: "hello there\r\n\r\n", want: endedByProtocol},
		"timeout":              {cause: context.DeadlineExceeded, want: endedByTimeout},
		"link closed":          {cause: io.EOF, want: endedByLink},
		"stop":                 {cause: context.Canceled, want: endedByStop},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sent := make(chan struct{}, 1)
			b := &scriptedBackend{closes: tc.closes, answer: func(int, int, string) string {
				sent <- struct{}{}
				return tc.answer
			}}
			s := b.start(c)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			in := newInbound("GET", "/diary", "t", nil, 0)
			in.head.TimeoutMS = 200
			if tc.cause != nil {
				go func() {
					<-sent
					time.Sleep(10 * time.Millisecond) // for the exchange to wait for the answer
					cancel(tc.cause)
				}()
			}
			s.ServeCall(ctx, in)
			want := map[runEnder]uint64{}
			if tc.want != "" {
				want[tc.want] = 1
			}
			got := map[runEnder]uint64{}
			for _, by := range []runEnder{endedByCaller, endedByLink, endedByStop, endedByTimeout, endedByStall, endedByBackend, endedByCrash, endedByFull, endedByProtocol, endedByLost, ""} {
				if n := s.counters.set.GetOrCreateCounter(fmt.Sprintf(`yuccaport_booking_runs_unanswered_total{ended_by="%s"}`, by)).Get(); n > 0 {
					got[by] = n
				}
			}
			c.Check(got, qt.DeepEquals, want)
		})
	}
}
