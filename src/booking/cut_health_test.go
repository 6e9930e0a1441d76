package booking

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/settings"
)

// Guards against a backend server that counts as up, or as another instance, by a health answer that
// it broke off.
func TestCutHealthAnswer(t *testing.T) {
	tests := map[string]string{
		"with a body":    "HTTP/1.1 200 OK\r\nInstance-Id: i-12345\r\nContent-Length: 2\r\n\r\nok",
		"without a body": "HTTP/1.1 200 OK\r\nInstance-Id: i-12345\r\nContent-Length: 0\r\n\r\n",
		"in chunks":      "HTTP/1.1 200 OK\r\nInstance-Id: i-12345\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := listen(c)
			var size atomic.Int64
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
						_, _ = io.WriteString(nc, answer[:size.Load()])
					}
					_ = nc.Close()
				}
			}()
			c.Cleanup(func() { _ = l.Close() })
			s := &Server{
				Backend: settings.Backend{Addr: addrOf(l), Slots: 4, Connections: 8, HealthPath: "/health"}, Service: "bookings", Self: 7, UsesHeartbeats: true,
				Headers: header.Names{Instance: "Instance-Id"},
			}
			for n := range answer {
				size.Store(int64(n))
				state, instance := s.CheckHealth(context.Background())
				c.Check(state, qt.Not(qt.Equals), HealthUp, qt.Commentf("%q", answer[:n]))
				c.Check(instance, qt.Equals, "", qt.Commentf("%q", answer[:n]))
			}
			size.Store(int64(len(answer)))
			state, instance := s.CheckHealth(context.Background())
			c.Check(state, qt.Equals, HealthUp)
			c.Check(instance, qt.Equals, "i-12345")
		})
	}
}
