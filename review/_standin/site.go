package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/platform/message"
)

const (
	configKey  = "op/config"
	settleTime = 3500 * time.Millisecond // after the start, more than stable_window_s
)

// site is a small deployment on loopback addresses.
type site struct {
	dir      string
	binary   string
	rec      *record
	store    *store
	machines []*machine
	net      int // second number of its addresses
	ctx      context.Context
	cancel   context.CancelFunc
}

func newSite(recordFile, binary string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	binary, err = filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, binary: binary, rec: rec, store: newStore(), net: 64 + os.Getpid()%128}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// add adds a machine with a server of the given service.
func (s *site) add(service, domain string, slots, queue int) (*machine, error) {
	return s.addWith(service, domain, slots, queue, 1000)
}

// addWith adds a machine whose link has the given speed in megabits per second.
func (s *site) addWith(service, domain string, slots, queue, linkMbps int) (*machine, error) {
	i := len(s.machines) + 1
	m := &machine{site: s, name: fmt.Sprintf("m%d", i), ip: fmt.Sprintf("127.%d.%d.%d", s.net, os.Getpid()/128%250, i), domain: domain, service: service, linkMbps: linkMbps}
	m.server = &server{m: m, slots: slots, queue: queue}
	s.machines = append(s.machines, m)
	return m, m.prepare()
}

// startAll starts servers and agents and waits until all agents are ready and serve.
func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := m.server.start("i-" + m.name + "-1"); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		go m.heartbeats(s.ctx)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range s.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(s.machines) {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("agents are not ready after 10 s")
		}
	}
}

// close ends all processes that the site started and removes its folder unless KEEP is set.
func (s *site) close() {
	s.cancel()
	for _, m := range s.machines {
		m.signal(syscall.SIGCONT) // continues a process that stands still
		m.end()
		m.server.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func ms(d time.Duration) msgp.Number {
	var n msgp.Number
	n.AsInt(d.Milliseconds())
	return n
}

// route describes a route of the configuration.
func route(name, host, prefix, kind, service string, timeout, objective time.Duration) message.Route {
	r := message.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Service: service, Attempts: 2, Priority: 1}
	r.TimeoutMS, r.ObjectiveMS = ms(timeout), ms(objective)
	return r
}

// putConfig writes a configuration as the operator does.
func (s *site) putConfig(version uint64, routes []message.Route, tenants []message.Tenant, services ...string) {
	cfg := message.Config{Version: version, Routes: routes, Tenants: tenants}
	for _, name := range services {
		cfg.Services = append(cfg.Services, message.Service{Name: name, HealthPath: "/health", Connections: 120})
	}
	cfg.Limits = message.Limits{HeaderBytes: 1 << 14, BodyBytes: 64 << 20, HeaderTimeoutMS: ms(3 * time.Second), IdleTimeoutMS: ms(15 * time.Second)}
	b, err := cfg.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	s.store.data.Put(configKey, b)
	s.rec.note("operator: configuration %d is acknowledged", version)
}
