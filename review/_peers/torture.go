package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { scenarios["torture"] = torture }

// torture is a random run with clients and servers of all kinds.
func torture(trouble bool) int {
	s := newSite([]string{"alpha", "alpha", "alpha", "beta"}, false)
	host := "ficu95.example"
	routes := []any{
		route(host, "/r/", "safe", "alpha", 2500), route(host, "/u/", "unsafe", "alpha", 3000), route(host, "/p/", "upload", "alpha", 3000),
		route(host, "/d/", "download", "alpha", 3000), route(host, "/r/deep/", "safe", "beta", 2500),
	}
	split := route(host, "/s/", "safe", "", 2500)
	split["targets"] = []any{map[string]any{"service": "alpha", "weight": int64(90)}, map[string]any{"service": "beta", "weight": int64(10)}}
	routes = append(routes, split)
	s.configure(routes, []string{"alpha", "beta"}, nil)
	defer s.end()
	if !s.start() {
		return 2
	}
	length := 20 * time.Second
	if d, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = time.Duration(d) * time.Second
	}
	if trouble {
		for _, srv := range s.servers {
			srv.set(faults{extra: .05, truncate: .03, lose: .03, garbage: .02, shed: .05, early: .2})
		}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	n := 0
	for i := range s.agents {
		for j := range 8 {
			c := &client{world: s.world, agent: s.agents[i], host: host, rand: rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i*100+j))), deadline: 2500, stop: stop, pick: pickAny, leave: .05, pipe: .2}
			n++
			go func() { c.run(); done <- struct{}{} }()
		}
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+s.rand.IntN(1200)) * time.Millisecond)
		if !trouble || os.Getenv("STILL") != "" {
			continue
		}
		a := s.agents[s.rand.IntN(len(s.agents))]
		switch s.rand.IntN(6) {
		case 0:
			note("kill %s", a.name())
			a.kill()
			time.Sleep(100 * time.Millisecond)
			a.start()
		case 1:
			note("stop %s", a.name())
			a.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(s.rand.IntN(2500)) * time.Millisecond)
			a.signal(syscall.SIGCONT)
		case 2:
			note("term %s", a.name())
			a.signal(syscall.SIGTERM)
			select {
			case <-a.done:
			case <-time.After(a.grace):
				note("VIOLATION grace of %s", a.name())
				a.kill()
			}
			a.start()
		case 3:
			a.signal(syscall.SIGHUP)
		case 4:
			srv := s.servers[s.rand.IntN(len(s.servers))]
			note("crash of server %d", srv.agent.index)
			srv.mu.Lock()
			instance := srv.instance
			srv.mu.Unlock()
			srv.end()
			time.Sleep(time.Duration(s.rand.IntN(600)) * time.Millisecond)
			if s.rand.IntN(2) == 0 {
				instance = ""
			}
			srv.start(instance)
		case 5:
			s.configure(routes, []string{"alpha", "beta"}, nil)
		}
	}
	close(stop)
	for ; n > 0; n-- {
		<-done
	}
	if os.Getenv("METRICS") != "" {
		for _, srv := range s.servers {
			srv.set(faults{})
		}
		time.Sleep(14 * time.Second)
		for _, a := range s.agents {
			a.metrics()
		}
	}
	for _, a := range s.agents {
		fmt.Printf("%s rss %.0f MB\n", a.name(), a.rss())
	}
	return s.report()
}

func (s *server) set(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func noise(r *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// pickAny returns a random request.
func pickAny(c *client) *sent {
	r := c.rand
	query := fmt.Sprintf("?work=%d&x=%%20a%%2F+b&size=%d", r.IntN(40), []int{0, 100, 5000, 70000, 300000}[min(4, r.IntN(12))])
	query += "&frame=" + []string{"", "chunked", "unframed"}[r.IntN(3)]
	if r.IntN(30) == 0 {
		query += "&status=" + []string{"500", "504", "404", "403"}[r.IntN(4)]
	}
	var body []byte
	switch r.IntN(8) {
	case 0, 1:
		body = noise(r, 1+r.IntN(3000))
	case 2:
		body = noise(r, 10000+r.IntN(200000))
	case 3:
		body = []byte(fmt.Sprintf("POST /u/smuggled HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", c.host, "smuggled"))
	case 4:
		if r.IntN(10) == 0 {
			body = noise(r, 9<<20)
		}
	}
	switch r.IntN(10) {
	case 0, 1:
		return c.request([]string{"GET", "GET", "HEAD", "DELETE", "OPTIONS"}[r.IntN(5)], "/r/x"+query, nil, false, "alpha")
	case 2:
		return c.request([]string{"GET", "DELETE", "PUT"}[r.IntN(3)], "/r/deep//../y"+query, body, false, "beta")
	case 3, 4:
		return c.request([]string{"POST", "PUT", "GET", "PATCH"}[r.IntN(4)], "/u/pay"+query, body, true, "alpha")
	case 5:
		return c.request("POST", "/p/photo"+query, body, true, "alpha")
	case 6:
		return c.request("GET", "/d/file"+query, body, false, "alpha")
	case 7:
		return c.request("GET", "/s/some"+query, nil, false, "alpha", "beta")
	case 8:
		return c.request([]string{"GET", "POST"}[r.IntN(2)], []string{"/r", "/zz/", "/", "/u", "/R/x", "/%72/x"}[r.IntN(6)], body, true, "none")
	}
	return c.request("POST", "/r/q"+query, body, false, "alpha")
}
