package dispatch

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request that arrived before its idle connection was to end must be read, also if this process
// runs only after the deadline: the connection would end without an answer to it.
func TestReadsRequestThatArrivedBeforeDeadline(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: bookings.example\r\n\r\n"
	tests := map[string]struct {
		sent  string
		leave bool // the caller ends its side
		stop  bool
		want  string
		err   error // of the first read, nil for none
	}{
		"stop":                       {sent: request, stop: true, want: request},
		"stop, part of a request":    {sent: request[:9], stop: true, want: request[:9]},
		"stop, nothing sent":         {stop: true, err: io.EOF},
		"stop, caller has left":      {sent: request, leave: true, stop: true, err: io.EOF},
		"idle timeout":               {sent: request, want: request},
		"idle timeout, nothing sent": {err: os.ErrDeadlineExceeded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			caller, err := net.Dial("tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = caller.Close() }()
			nc, err := l.Accept()
			c.Assert(err, qt.IsNil)
			conn := &callerConn{
				Conn: nc, stallTimeout: time.Second, heldBytes: new(atomic.Int64), onClose: func(*callerConn) {},
				limits: func() Limits { return Limits{IdleTimeout: time.Nanosecond, HeaderTimeout: time.Second} },
			}
			defer conn.abort()
			_, err = io.WriteString(caller, tc.sent)
			c.Assert(err, qt.IsNil)
			if tc.leave {
				c.Assert(caller.(*net.TCPConn).CloseWrite(), qt.IsNil)
			}
			time.Sleep(20 * time.Millisecond) // until it has arrived
			if tc.stop {
				conn.stop(time.Now())
			}
			b := make([]byte, 100)
			n, err := conn.Read(b)
			c.Check(string(b[:n]), qt.Equals, tc.want)
			c.Check(err, qt.ErrorIs, tc.err)
		})
	}
}
