package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { scenarios["odd"] = odd }

// odd is a random run beside another writer of entries and heartbeats.
func odd(trouble bool) int {
	s := newSite([]string{"alpha", "alpha", "alpha", "beta"}, true)
	host := "ficu95.example"
	routes := []any{
		route(host, "/r/", "safe", "alpha", 2500), route(host, "/u/", "unsafe", "alpha", 3000), route(host, "/p/", "upload", "alpha", 3000),
		route(host, "/d/", "download", "alpha", 3000), route(host, "/r/deep/", "safe", "beta", 2500), route(host, "/s/", "safe", "alpha", 2500),
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
		for j := range 4 {
			c := &client{world: s.world, agent: s.agents[i], host: host, rand: rand.New(rand.NewPCG(s.rand.Uint64(), uint64(i*100+j))), deadline: 2500, stop: stop, pick: pickAny}
			n++
			go func() { c.run(); done <- struct{}{} }()
		}
	}
	r := s.rand
	mutate := func(b []byte) []byte {
		b = bytes.Clone(b)
		for range 1 + r.IntN(4) {
			if len(b) == 0 {
				return b
			}
			switch r.IntN(4) {
			case 0:
				b = b[:r.IntN(len(b))]
			case 1:
				b[r.IntN(len(b))] = byte(r.Uint32())
			case 2:
				i := r.IntN(len(b))
				b = append(b[:i:i], append(noise(r, r.IntN(6)), b[i:]...)...)
			case 3:
				b = append(b, noise(r, r.IntN(20))...)
			}
		}
		return b
	}
	odds := []any{nil, "x", "", []any{}, map[string]any{}, true, strings.Repeat("z", 5000)}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(20+r.IntN(100)) * time.Millisecond)
		if !trouble {
			continue
		}
		switch r.IntN(3) {
		case 0:
			keys := s.store.Keys("op-mesh/")
			if len(keys) == 0 {
				continue
			}
			k := keys[r.IntN(len(keys))]
			v := mutate(s.store.Get(k))
			switch r.IntN(4) {
			case 0:
				s.store.Put(k, v)
			case 1:
				s.store.Put("op-mesh/member/127.0.0.1:"+strconv.Itoa(1000+r.IntN(50)), v)
			case 2:
				s.store.Put("op-mesh/"+[]string{"left/", "probe/", "rollout/", "member/", ""}[r.IntN(5)]+fmt.Sprint("x", r.IntN(100)), v)
			case 3:
				s.store.Put("op/rollout/"+[]string{"alpha", "beta", "gamma"}[r.IntN(3)], mutate(encode(map[string]any{"service": "alpha", "target_version": odds[r.IntN(len(odds))], "duration_s": odds[r.IntN(len(odds))]})))
			}
		default:
			a := s.agents[r.IntN(len(s.agents))]
			m := map[string]any{"service": a.service, "addr": addr(a.ports.app), "domain": "mid-a", "version": "v1", "slots": int64(12), "state": "ready", "cold_ms": int64(0), "sequence": int64(r.IntN(100000)), "born": time.Now().UnixMilli() + int64(r.IntN(10)) - 5}
			for range 1 + r.IntN(2) {
				for k := range m {
					if k == "sequence" || k == "born" || k == "state" || k == "slots" || k == "service" || k == "addr" {
						m[k] = odds[r.IntN(len(odds))]
					}
					break
				}
			}
			good := true
			for _, k := range []string{"sequence", "born", "slots"} {
				_, ok := m[k].(int64)
				good = good && ok
			}
			if good && str(m["state"]) == "ready" && str(m["service"]) == a.service && str(m["addr"]) == addr(a.ports.app) {
				continue
			}
			b := encode(m)
			if r.IntN(4) == 0 {
				b = noise(r, r.IntN(100))
			}
			resp, err := beatClient.Post("http://"+addr(a.ports.heartbeats)+[]string{"/Instances.Heartbeat/", "/Instances.Deregister/"}[0]+s.servers[a.index].instance, "application/msgpack", bytes.NewReader(b))
			if err == nil {
				resp.Body.Close()
				s.world.count("odd heartbeat answered " + strconv.Itoa(resp.StatusCode))
			}
		}
	}
	close(stop)
	for ; n > 0; n-- {
		<-done
	}
	for _, a := range s.agents {
		if a.ended() {
			s.world.violate("CRASH: %s", a.name())
		}
	}
	_ = http.MethodGet
	return s.report()
}
