package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["uploads"] = uploads }

const (
	uploadTimeout  = 2000 // timeout_s of the route, in ms
	uploadDeadline = 3000 // Deadline-Milliseconds of the clients
	uploadSize     = 240_000
	uploadWork     = 260 // ms, of a server at its usual speed
	slowFactor     = 12
	uploadInterval = 12 * time.Millisecond
	slowServers    = 2 // of 5 of the service
)

// uploads slows two servers of the five of a service down for 9 s, and looks whether uploads that are still unanswered
// at their route's timeout_s are answered by half a second later.
func uploads(trouble bool) int {
	s := newSite([]string{"jobrecords", "jobrecords", "jobrecords", "jobrecords", "jobrecords", "bookings", "bookings", "bookings", "bookings", "bookings"}, false)
	host := "ficu95.example"
	s.configure([]any{route(host, "/p/", "upload", "jobrecords", uploadTimeout)}, []string{"bookings", "jobrecords"}, nil)
	defer s.end()
	if !s.start() {
		return 2
	}
	size := uploadSize
	if n, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
		size = n
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered, late, never, answered := 0, 0, 0, 0
	one := func(a *agent, i int) {
		defer wg.Done()
		c := &client{world: s.world, agent: a, host: host, rand: rand.New(rand.NewPCG(1, uint64(i))), deadline: uploadDeadline}
		q := c.request("POST", fmt.Sprintf("/p/photo?work=%d&size=1500", uploadWork), noise(c.rand, size), true, "jobrecords")
		took, status := c.single(q)
		note("%s sent at %.3f, answer %d after %.3f s", q.id, q.at.Sub(started).Seconds(), status, took.Seconds())
		mu.Lock()
		defer mu.Unlock()
		if status != 0 {
			answered++
		} else {
			never++
		}
		if took > uploadTimeout*time.Millisecond {
			unanswered++
			if status == 0 || took > (uploadTimeout+500)*time.Millisecond {
				late++
			}
		}
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < 14*time.Second; i++ {
		on := trouble && time.Since(begin) > 2*time.Second && time.Since(begin) < 11*time.Second
		for j, srv := range s.servers {
			f := faults{slow: 1}
			if on && j < slowServers {
				f.slow = slowFactor
			}
			srv.set(f)
		}
		wg.Add(1)
		go one(s.agents[i%len(s.agents)], i)
		time.Sleep(uploadInterval)
	}
	wg.Wait()
	line := fmt.Sprintf("answered %d, never answered %d; unanswered at timeout_s %d, of these without an answer half a second later %d", answered, never, unanswered, late)
	fmt.Println(line)
	note("%s", line)
	if late >= 8 && late*4 > unanswered { // eight or more, and over a quarter
		s.world.violate("CONFIG: %s", line)
	}
	return s.report()
}

// single sends one request on a connection of its own, and returns how long its answer took and its
// status, 0 if there was none within the deadline.
func (c *client) single(s *sent) (time.Duration, int) {
	nc, r, err := c.dial()
	if err != nil {
		return 0, -1
	}
	defer nc.Close()
	s.at = time.Now()
	c.world.send(s)
	_ = nc.SetDeadline(s.at.Add(time.Duration(c.deadline) * time.Millisecond))
	if _, err := nc.Write(c.bytesOf(s)); err != nil {
		return time.Since(s.at), 0
	}
	c.read(nc, r, s)
	return time.Since(s.at), s.status
}
