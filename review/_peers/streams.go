package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["streams"] = streams }

const (
	streamTimeout  = 3000  // timeout_s of the route, in ms
	streamDeadline = 10000 // Deadline-Milliseconds of the clients
	streamSize     = 200_000
	streamPause    = 900 // ms from the head of an answer to its body
	streamInterval = 25 * time.Millisecond
)

// streams takes the power from three machines of ten for good, beside three of the six servers while servers send answers without a stated length,
// and looks whether requests that are still unanswered at their route's timeout_s are answered by half
// a second later.
func streams(trouble bool) int {
	s := newSite([]string{"bookings", "bookings", "bookings", "bookings", "jobrecords", "jobrecords", "jobrecords", "jobrecords", "jobrecords", "jobrecords"}, false)
	host := "ficu95.example"
	s.configure([]any{route(host, "/d/", "download", "jobrecords", streamTimeout)}, []string{"bookings", "jobrecords"}, nil)
	defer s.end()
	if !s.start() {
		return 2
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	unanswered, late, none, answered := 0, 0, 0, 0
	lost := s.agents[len(s.agents)-3:]
	senders := s.agents[:len(s.agents)-3] // their machines are in touch
	one := func(a *agent, i int) {
		defer wg.Done()
		c := &client{world: s.world, agent: a, host: host, rand: rand.New(rand.NewPCG(1, uint64(i))), deadline: streamDeadline}
		q := c.request("GET", fmt.Sprintf("/d/calendar?work=30&size=%d&frame=chunked&pause=%d", streamSize, streamPause), nil, false, "jobrecords")
		took, status := c.single(q)
		note("%s sent at %.3f at %s, status %d %s after %.3f s", q.id, q.at.Sub(started).Seconds(), a.name(), status, q.note, took.Seconds())
		mu.Lock()
		defer mu.Unlock()
		if status/100 == 2 && q.note == "" {
			answered++
		}
		if took <= streamTimeout*time.Millisecond {
			return
		}
		unanswered++
		if status == 0 { // not one byte of an answer
			none++
		}
		if took > (streamTimeout+500)*time.Millisecond {
			late++
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
		time.Sleep(streamInterval)
	}
	wg.Wait()
	line := fmt.Sprintf("answered whole %d; unanswered at timeout_s %d, of these without their whole answer half a second later %d, without a byte of one within %d ms %d", answered, unanswered, late, streamDeadline, none)
	fmt.Println(line)
	note("%s", line)
	if none >= 8 && none*4 > unanswered { // eight or more, and over a quarter
		s.world.violate("CONFIG: %s", line)
	}
	return s.report()
}
