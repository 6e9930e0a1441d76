package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/platform/message"
)

// The figures of the case CONFIG: a failure domain of ironbark-members-grown, made smaller.
const (
	configBound   = 2500 * time.Millisecond // config_propagation_s
	configMargin  = 100 * time.Millisecond
	silentFor     = 5 * time.Second // for which the store is silent for two of eight machines
	configRounds  = 8
	configPause   = 4 * time.Second // stable_window_s and more, between two rounds
	configRoutes  = 800
	configRequest = 40 * time.Millisecond // between two requests of a client
	slowMbps      = 10
)

func init() { cases["config"] = configCase }

// configCase lets the store turn away two of eight machines, and takes a key away right after that.
// Clients go on using the key at the machines that the store serves all the while.
func configCase(s *site, trouble bool) (bool, error) {
	for _, mbps := range []int{200, 150, 140, slowMbps, slowMbps, slowMbps, slowMbps, slowMbps} {
		m, err := s.addWith("front-desk", "cs-a", 6, 24, mbps)
		if err != nil {
			return false, err
		}
		m.server.work = workOfPath
	}
	s.putKeys(0)
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	held := true
	for n := 1; n <= configRounds; n++ {
		held = s.playConfigRound(n, trouble) && held
		time.Sleep(configPause)
	}
	return held, nil
}

// key returns the key that round n takes away.
func key(n int) string { return fmt.Sprintf("key-%d-abcdefghij", n) }

// putKeys writes the configuration with the keys from round n+1 on.
func (s *site) putKeys(n int) {
	t := message.Tenant{Name: "gym"}
	for k := n + 1; k <= configRounds; k++ {
		t.Keys = append(t.Keys, key(k))
	}
	t.Keys = append(t.Keys, key(configRounds+1))
	routes := []message.Route{route("checkin-lookup", "h.example", "/check/", "safe", "front-desk", 1200*time.Millisecond, 500*time.Millisecond)}
	for i := range configRoutes {
		routes = append(routes, route(fmt.Sprint("r-", i), "h.example", fmt.Sprintf("/idle%d/", i), "safe", "front-desk", time.Second, 500*time.Millisecond))
	}
	s.putConfig(uint64(n+1), routes, []message.Tenant{t}, "front-desk")
}

// playConfigRound plays one round and reports whether the rule held.
func (s *site) playConfigRound(n int, trouble bool) bool {
	if trouble {
		for _, m := range s.machines[:2] {
			s.rec.note("the store is silent for %s", m.name)
			m.store.set(storeSilent)
		}
	}
	s.putKeys(n)
	ackedAt := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, silentFor)
	defer cancel()
	var mu sync.Mutex
	held := true
	var wg sync.WaitGroup
	for _, m := range s.machines[2:] { // the store serves these
		wg.Go(func() {
			last := time.Duration(0)
			for i := 0; ctx.Err() == nil; i++ {
				c := m.do(s.ctx, &call{
					id: fmt.Sprintf("%s-%d-%d", m.name, n, i), method: "GET", path: "/check/5", host: "h.example", deadline: 1200 * time.Millisecond,
					header: http.Header{"Authorization": {"Bearer " + key(n)}},
				})
				if c.status == http.StatusOK {
					last = c.sentAt.Sub(ackedAt)
				}
				time.Sleep(configRequest)
			}
			s.rec.note("round %d: %s accepted the key until %s after the configuration without it was acknowledged", n, m.name, last)
			mu.Lock()
			defer mu.Unlock()
			held = held && last <= configBound+configMargin
		})
	}
	wg.Wait()
	for _, m := range s.machines[:2] {
		m.store.set(storeWorks)
	}
	return held
}
