package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

func init() { scenarios["stall"] = stall }

// stall is an experiment: answers that stop midway on connections that stay open.
func stall(trouble bool) int {
	s := newSite([]string{"alpha", "alpha", "alpha", "alpha", "alpha"}, false)
	host := "ficu95.example"
	kind := os.Getenv("KIND")
	s.configure([]any{route(host, "/p/", kind, "alpha", 2000)}, []string{"alpha"}, nil)
	defer s.end()
	if !s.start() {
		return 2
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	hist := map[string]int{}
	begin := time.Now()
	for i := 0; time.Since(begin) < 10*time.Second; i++ {
		on := trouble && time.Since(begin) > 2*time.Second && time.Since(begin) < 8*time.Second
		for j, srv := range s.servers {
			f := faults{slow: 1}
			if on && j < 2 {
				f.stall = 0.3
			}
			srv.set(f)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{world: s.world, agent: s.agents[i%len(s.agents)], host: host, rand: rand.New(rand.NewPCG(1, uint64(i))), deadline: 6000}
			method := "GET"
			if kind == "unsafe" {
				method = "POST"
			}
			q := c.request(method, "/p/photo?work=60&size="+os.Getenv("SIZE")+"&frame="+os.Getenv("FRAME"), nil, kind == "unsafe", "alpha")
			took, status := c.single(q)
			mu.Lock()
			defer mu.Unlock()
			hist[fmt.Sprintf("%d %s after %.0f s", status, q.note, took.Seconds())]++
		}()
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	fmt.Println(hist)
	return s.report()
}
