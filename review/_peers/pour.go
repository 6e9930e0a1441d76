package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

func init() { scenarios["pour"] = pour }

// pourings are beginnings of answers, each with what follows without end.
var pourings = [][2]string{
	{"", "no answer "}, {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"}, {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, {"", "\r\n"},
	{"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"}, {"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: y\r\n"},
	{"HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000"}, {"HTTP/1.1 500 Bad\r\nServer-Stamp: x\r\n\r\n", "body"},
	{"HTTP/1.1 200 OK\r\n\r\n", "body without a stamp "},
	{"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
}

// pourOut writes without end until the other side closes.
func pourOut(c net.Conn, i int) {
	p := pourings[i%len(pourings)]
	if _, err := c.Write([]byte(p[0])); err != nil {
		return
	}
	b := []byte(strings.Repeat(p[1], 1+(64<<10)/len(p[1])))
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// pour lets one server of three pour, and looks at the memory of the agents.
func pour(trouble bool) int {
	s := newSite([]string{"alpha", "alpha", "alpha"}, false)
	host := "ficu95.example"
	s.configure([]any{route(host, "/r/", "safe", "alpha", 2500), route(host, "/u/", "unsafe", "alpha", 3000)}, []string{"alpha"}, nil)
	defer s.end()
	if !s.start() {
		return 2
	}
	if trouble {
		s.servers[0].set(faults{pour: 1})
	}
	stop, done, n := make(chan struct{}), make(chan struct{}), 0
	for i := range s.agents {
		for j := range 10 {
			c := &client{world: s.world, agent: s.agents[i], host: host, rand: rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i*100+j))), deadline: 2500, stop: stop,
				pick: func(c *client) *sent {
					if c.rand.IntN(2) == 0 {
						return c.request("POST", "/u/x?work=10&size=2000", noise(c.rand, 500), true, "alpha")
					}
					return c.request("GET", "/r/x?work=10&size=2000", nil, false, "alpha")
				}}
			n++
			go func() { c.run(); done <- struct{}{} }()
		}
	}
	most := 0.0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, a := range s.agents {
			most = max(most, a.rss())
			if a.ended() {
				s.world.violate("CRASH: %s", a.name())
			}
		}
	}
	close(stop)
	for ; n > 0; n-- {
		<-done
	}
	fmt.Printf("most memory of an agent: %.0f MB\n", most)
	if most > 284 {
		s.world.violate("MEMORY: %.0f MB", most)
	}
	return s.report()
}
