package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"syscall"
	"time"
)

func init() { scenarios["quota"] = quotaRun }

// quotaRun is a random run of a tenant beyond its limit.
func quotaRun(trouble bool) int {
	s := newSite([]string{"alpha", "alpha", "alpha", "alpha", "alpha", "alpha"}, true)
	host := "ficu95.example"
	routes := []any{route(host, "/r/", "safe", "alpha", 2500), route(host, "/u/", "unsafe", "alpha", 3000)}
	rate, burst := 20.0, 10.0
	tenants := []any{map[string]any{"name": "hule930", "keys": []any{"key-aaaaaaaa"}, "priority": int64(1), "rate_per_s": int64(rate), "burst": int64(burst)}}
	s.configure(routes, []string{"alpha"}, tenants)
	defer s.end()
	if !s.start() {
		return 2
	}
	length := 30 * time.Second
	if d, err := strconv.Atoi(os.Getenv("LENGTH")); err == nil {
		length = time.Duration(d) * time.Second
	}
	stop, done, n := make(chan struct{}), make(chan struct{}), 0
	for i := range s.agents {
		for j := range 6 {
			c := &client{world: s.world, agent: s.agents[i], host: host, rand: rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i*100+j))), deadline: 2500, stop: stop, key: "key-aaaaaaaa", tenant: "hule930",
				pick: func(c *client) *sent {
					time.Sleep(time.Duration(c.rand.IntN(120)) * time.Millisecond)
					return c.request("GET", "/r/x?work=30&size=100", nil, false, "alpha")
				}}
			n++
			go func() { c.run(); done <- struct{}{} }()
		}
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+s.rand.IntN(1500)) * time.Millisecond)
		if !trouble {
			continue
		}
		a := s.agents[s.rand.IntN(len(s.agents))]
		switch s.rand.IntN(5) {
		case 0:
			note("kill %s", a.name())
			a.kill()
			a.start()
		case 1:
			note("herd")
			for _, a := range s.agents {
				a.signal(syscall.SIGKILL)
			}
			if s.rand.IntN(2) == 0 {
				s.store.lapse()
			}
			for _, a := range s.agents {
				<-a.done
				a.start()
			}
		case 2:
			for k := 0; k < 1+s.rand.IntN(3); k++ {
				b := s.agents[s.rand.IntN(len(s.agents))]
				note("stop %s", b.name())
				b.signal(syscall.SIGSTOP)
			}
			time.Sleep(time.Duration(s.rand.IntN(3500)) * time.Millisecond)
			for _, b := range s.agents {
				b.signal(syscall.SIGCONT)
			}
		case 3:
			note("term %s", a.name())
			a.signal(syscall.SIGTERM)
			select {
			case <-a.done:
			case <-time.After(a.grace):
				a.kill()
			}
			a.start()
		case 4:
			note("refuse")
			s.store.set(func() { s.store.refuse[a.index] = true })
			time.Sleep(time.Duration(s.rand.IntN(4000)) * time.Millisecond)
			s.store.set(func() { s.store.refuse[a.index] = false })
		}
	}
	close(stop)
	for ; n > 0; n-- {
		<-done
	}
	type span struct{ sent, at time.Time }
	var all []span
	s.world.mu.Lock()
	for id, runs := range s.world.runs {
		all = append(all, span{s.world.sent[id].at, runs[0].at})
	}
	s.world.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	worst, when := 0, time.Time{}
	for i := range all {
		k := 0
		for j := i; j < len(all) && all[j].at.Sub(all[i].sent) <= 5*time.Second; j++ {
			if !all[j].sent.Before(all[i].sent) {
				k++
			}
		}
		if k > worst {
			worst, when = k, all[i].sent
		}
	}
	limit := (rate*5+burst)*1.1 + 20
	fmt.Printf("worst window %d at %.3f, limit %.0f, runs %d\n", worst, when.Sub(started).Seconds(), limit, len(all))
	if float64(worst) > limit {
		s.world.violate("QUOTA: %d in a window, limit %.0f", worst, limit)
	}
	return s.report()
}
