package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { scenarios["planned"] = planned }

// planned is a random run with planned stops alone.
func planned(trouble bool) int {
	s := newSite([]string{"alpha", "alpha", "alpha", "beta", "beta"}, false)
	s.world.planned = true
	host := "ficu95.example"
	routes := []any{
		route(host, "/r/", "safe", "alpha", 2500), route(host, "/u/", "unsafe", "alpha", 3000), route(host, "/p/", "upload", "alpha", 3000),
		route(host, "/d/", "download", "alpha", 3000), route(host, "/r/deep/", "safe", "beta", 2500), route(host, "/l/", "unsafe", "beta", 4000),
	}
	s.configure(routes, []string{"alpha", "beta"}, nil)
	defer s.end()
	if !s.start() {
		return 2
	}
	length := 20 * time.Second
	if d, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = time.Duration(d) * time.Second
	}
	stop, done, n := make(chan struct{}), make(chan struct{}), 0
	for i := range s.agents {
		for j := range 10 {
			c := &client{world: s.world, agent: s.agents[i], host: host, rand: rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i*100+j))), deadline: 4000, stop: stop, pick: pickPlanned, pipe: .15}
			if j == 0 {
				c.pipe = 1
			}
			n++
			go func() { c.run(); done <- struct{}{} }()
		}
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+s.rand.IntN(1500)) * time.Millisecond)
		if !trouble {
			continue
		}
		a := s.agents[s.rand.IntN(len(s.agents))]
		switch s.rand.IntN(5) {
		case 0, 1, 2:
			note("term %s", a.name())
			a.signal(syscall.SIGTERM)
			if s.rand.IntN(4) == 0 {
				time.Sleep(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
				a.signal(syscall.SIGHUP)
			}
			select {
			case <-a.done:
			case <-time.After(a.grace):
				s.world.count("killed after grace")
				a.kill()
			}
			a.start()
		case 3:
			a.signal(syscall.SIGHUP)
		case 4:
			s.configure(routes, []string{"alpha", "beta"}, nil)
		}
	}
	close(stop)
	for ; n > 0; n-- {
		<-done
	}
	return s.report()
}

// pickPlanned returns a random request.
func pickPlanned(c *client) *sent {
	r := c.rand
	work := r.IntN(300)
	if r.IntN(10) == 0 {
		work = r.IntN(2400)
	}
	query := fmt.Sprintf("?work=%d&size=%d&frame=%s", work, []int{0, 100, 5000, 70000, 300000, 1500000}[r.IntN(6)], []string{"", "", "chunked", "unframed"}[r.IntN(4)])
	var body []byte
	switch r.IntN(3) {
	case 0:
		body = noise(r, 1+r.IntN(3000))
	case 1:
		body = noise(r, 10000+r.IntN(200000))
	}
	switch r.IntN(6) {
	case 0:
		return c.request("POST", "/u/pay"+query, body, true, "alpha")
	case 1:
		return c.request("POST", "/p/photo"+query, body, true, "alpha")
	case 2:
		return c.request("GET", "/d/file"+query, nil, false, "alpha")
	case 3:
		return c.request("POST", "/l/long"+query, body, true, "beta")
	case 4:
		return c.request("GET", "/r/deep/x"+query, nil, false, "beta")
	}
	return c.request("GET", "/r/q"+query, nil, false, "alpha")
}
