package booking

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/settings"
)

// scriptedBackend answers the requests of each connection, which it keeps, with the bytes of answer.
type scriptedBackend struct {
	answer      func(conn, request int, id string) string
	closes      bool // it closes the connection after each answer
	connections atomic.Int64
}

// start starts the backend server and returns a server for it, which is reported by heartbeats.
func (b *scriptedBackend) start(c *qt.C) *Server {
	l := listen(c)
	go b.serve(l)
	s := &Server{
		Backend: settings.Backend{Addr: addrOf(l), Slots: 4, Connections: 8, HealthPath: "/health"}, Service: "bookings", Self: 7, UsesHeartbeats: true,
		Headers: header.Names{RequestID: "X-Call-Id", NotRun: "X-Not-Run", Deadline: "X-Left-Ms", Instance: "X-Instance"},
	}
	s.SetInstance("i-1", 4, true)
	c.Cleanup(func() {
		_ = l.Close()
		s.pool.close()
	})
	return s
}

func (b *scriptedBackend) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		conn := int(b.connections.Add(1))
		go func() {
			defer func() { _ = nc.Close() }()
			r := bufio.NewReader(nc)
			for n := 1; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.WriteString(nc, b.answer(conn, n, req.Header.Get("X-Call-Id"))); err != nil || b.closes {
					return
				}
			}
		}()
	}
}
