package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["dark"] = dark }

const (
	darkTimeout  = 2000  // timeout_s of the route, in ms
	darkDeadline = 10000 // Deadline-Milliseconds of the clients
	darkSize     = 240_000
	darkWork     = 260 // ms
	darkInterval = 12 * time.Millisecond
)

// dark takes the power from two machines of ten for good, beside two of the four servers, and looks whether uploads that are still
// unanswered at their route's timeout_s are answered by half a second later.
func dark(trouble bool) int {
	s := newSite(siteServices, false)
	host := "ficu95.example"
	s.configure([]any{route(host, "/p/", "upload", "jobrecords", darkTimeout)}, []string{"bookings", "jobrecords"}, nil)
	defer s.end()
	if !s.start() {
		return 2
	}
	size := darkSize
	if n, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
		size = n
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered, late, never, answered := 0, 0, 0, 0
	lost := s.agents[len(s.agents)-2:]
	senders := s.agents[:len(s.agents)-2] // their machines are in touch
	one := func(a *agent, i int) {
		defer wg.Done()
		c := &client{world: s.world, agent: a, host: host, rand: rand.New(rand.NewPCG(1, uint64(i))), deadline: darkDeadline}
		q := c.request("POST", fmt.Sprintf("/p/photo?work=%d&size=1500", darkWork), noise(c.rand, size), true, "jobrecords")
		took, status := c.single(q)
		note("%s sent at %.3f at %s, status %d after %.3f s", q.id, q.at.Sub(started).Seconds(), a.name(), status, took.Seconds())
		mu.Lock()
		defer mu.Unlock()
		if status > 0 {
			answered++
		} else {
			never++
		}
		if took > darkTimeout*time.Millisecond {
			unanswered++
			if status <= 0 || took > (darkTimeout+500)*time.Millisecond {
				late++
			}
		}
	}
	begin := time.Now()
	for i, off := 0, false; time.Since(begin) < 12*time.Second; i++ {
		if trouble && !off && time.Since(begin) > 4*time.Second {
			off = true
			for _, a := range lost {
				s.losePower(a)
			}
		}
		wg.Add(1)
		go one(senders[i%len(senders)], i)
		time.Sleep(darkInterval)
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
