// The program plays the scripts of this review: it starts agents as processes, and is the platform's
// store, the servers and the clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: peers SCENARIO RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	must(err)
	record = f
	play, ok := scenarios[os.Args[1]]
	if !ok {
		os.Exit(2)
	}
	signal.Ignore(syscall.SIGPIPE) // the processes are ended also where nobody reads what is printed
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		if theSite != nil {
			theSite.end()
		}
		os.Exit(2)
	}()
	os.Exit(play(os.Getenv("TROUBLE") != "0"))
}

const longestRun = 115 * time.Second

var theSite *site

var scenarios = map[string]func(trouble bool) int{}

// siteServices are the services of the machines of a small deployment, as of hollins-valet.
var siteServices = []string{"bookings", "bookings", "bookings", "bookings", "bookings", "bookings", "jobrecords", "jobrecords", "jobrecords", "jobrecords"}

// site is a small deployment.
type site struct {
	dir     string
	store   *store
	agents  []*agent
	servers []*server
	world   *world
	rand    *rand.Rand
	version int64
}

func newSite(services []string, quota bool) *site {
	dir, err := os.MkdirTemp("", "peers-")
	must(err)
	s := &site{dir: dir, store: newStore(), world: newWorld()}
	theSite = s
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	note("seed %d", seed)
	s.rand = rand.New(rand.NewPCG(seed, 1))
	for i, name := range services {
		a := newAgent(i, name, dir)
		a.quota = quota
		s.store.listen(addr(a.ports.store), i)
		s.agents = append(s.agents, a)
		s.servers = append(s.servers, &server{agent: a, service: name, world: s.world, rand: rand.New(rand.NewPCG(seed, uint64(i)+100))})
	}
	return s
}

// route returns a route of a configuration.
func route(host, prefix, kind, service string, timeout int) map[string]any {
	return map[string]any{"name": "r-" + host[:3] + prefix[1:len(prefix)-1], "host": host, "prefix": prefix, "kind": kind, "timeout_ms": int64(timeout), "objective_ms": int64(timeout / 3), "priority": int64(1), "service": service, "attempts": int64(2), "public": false}
}

// configure writes a configuration for the operator.
func (s *site) configure(routes []any, services []string, tenants []any) {
	s.version += 3
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "connections": int64(120), "protocol": "h1", "tls": false})
	}
	m := map[string]any{"version": s.version, "routes": routes, "services": list,
		"limits": map[string]any{"header_bytes": int64(16384), "body_bytes": int64(67108864), "header_timeout_ms": int64(3000), "idle_timeout_ms": int64(10000)}}
	if len(tenants) > 0 {
		m["tenants"] = tenants
	}
	s.store.Put("op/config", encode(m))
	note("configuration %d written", s.version)
}

// start starts all, and waits until the agents are ready.
func (s *site) start() bool {
	for _, a := range s.agents {
		a.start()
	}
	for _, srv := range s.servers {
		srv.start("")
		go srv.heartbeats()
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, a := range s.agents {
			if a.isReady() {
				n++
			}
		}
		if n == len(s.agents) {
			time.Sleep(700 * time.Millisecond)
			return true
		}
	}
	return false
}

func (s *site) end() {
	for _, a := range s.agents {
		if a.cmd != nil && !a.ended() {
			a.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println(filepath.Join(s.dir))
	}
}

// report prints what was seen and returns the exit status.
func (s *site) report() int {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	var keys []string
	for k := range s.world.counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		line := fmt.Sprintf("%6d %s", s.world.counts[k], k)
		fmt.Println(line)
		note("%s", line)
	}
	for _, v := range s.world.first {
		fmt.Println(v)
	}
	fmt.Println("violations", s.world.violations)
	if len(s.world.violations) > 0 {
		return 1
	}
	return 0
}

// losePower makes a machine answer nothing from now on, while connections to it hang. Its process is
// stopped, and killed at the end of the run.
func (s *site) losePower(a *agent) {
	note("%s loses power for good", a.name())
	a.signal(syscall.SIGSTOP)
	srv := s.servers[a.index]
	srv.mu.Lock()
	srv.silent = true
	srv.mu.Unlock()
}
