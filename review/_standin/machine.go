package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/platform/message"
)

const (
	heartbeatInterval = 1500 * time.Millisecond // heartbeat_s
	grace             = 6 * time.Second         // grace_s
	ackTimeout        = time.Second             // for the answer to a heartbeat
)

// machine is an agent process and the backend server beside it.
type machine struct {
	site     *site
	name     string
	ip       string
	domain   string
	service  string
	ports    map[string]int
	file     string
	store    *storeAccess
	server   *server
	linkMbps int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) addr(what string) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[what]) }

// prepare chooses ports, serves the store for this machine and writes the settings as
// deploy/settings.toml is filled in for a small deployment.
func (m *machine) prepare() error {
	m.ports = map[string]int{}
	var listeners []net.Listener
	for _, what := range []string{"outbound", "inbound", "ready", "control", "metrics", "application", "store"} {
		l, err := net.Listen("tcp", m.ip+":0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l) // closed after the loop, so that each port is another one
		m.ports[what] = l.Addr().(*net.TCPAddr).Port
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	var err error
	if m.store, err = m.site.store.listen(m.addr("store")); err != nil {
		return err
	}
	m.file = filepath.Join(m.site.dir, m.name+".toml")
	text := fmt.Sprintf(`name = %q
service = %q
domain = %q
region = "r"
heartbeat = "1500ms"
stop_grace = "6s"
memory_mb = 284
link_mbps = %d

[listen]
callers = %q
links = %q
ready = %q
heartbeats = %q
metrics = %q

[backend]
addr = %q

[store]
addr = %q
min_ttl = "1000ms"

[retry_budget]
share = 0.2
reserve = 60

[dispatch]
prefer_domain_if_shared = true

[rollout]
`, m.name, m.service, m.domain, m.linkMbps, m.addr("outbound"), m.addr("inbound"), m.addr("ready"), m.addr("control"), m.addr("metrics"), m.addr("application"), m.addr("store"))
	return os.WriteFile(m.file, []byte(text), 0o600)
}

// start starts the agent with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(m.site.binary, "agent")
	cmd.Env = []string{"YUCCAPORT_NODE_FILE=" + m.file, "PATH=" + os.Getenv("PATH"), "HOME=" + m.site.dir}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		m.site.rec.note("agent %s ended: %v", m.name, err)
		close(done)
	}()
	m.cmd, m.done = cmd, done
	m.site.rec.note("agent %s started, callers at %s", m.name, m.addr("outbound"))
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	m.site.rec.note("agent %s gets %s", m.name, s)
	_ = m.cmd.Process.Signal(s) // fails if it has ended
}

// await waits until the agent's process has ended, and reports whether it did within a time.
func (m *machine) await(d time.Duration) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// end kills the agent's process.
func (m *machine) end() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// isReady asks as the platform does, once.
func (m *machine) isReady() bool {
	code, _, err := fasthttp.GetTimeout(nil, "http://"+m.addr("ready")+"/readiness", time.Second)
	return err == nil && code == fasthttp.StatusOK
}

// heartbeats sends the server's heartbeats until ctx ends.
func (m *machine) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		m.heartbeat()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one and reports whether it was acknowledged.
func (m *machine) heartbeat() bool {
	s := m.server
	s.mu.Lock()
	s.sequence++
	instance, draining := s.instance, s.draining
	msg := message.Heartbeat{Addr: m.addr("application"), Service: m.service, Domain: m.domain, Version: "v1", Slots: &s.slots, State: "ready", Born: s.born}
	sequence := s.sequence
	msg.Sequence = &sequence
	s.mu.Unlock()
	if instance == "" {
		return false
	}
	if draining {
		msg.State = "leaving"
	}
	b, _ := msg.MarshalMsg(nil) // to memory, cannot fail
	ok := m.post("/Instances.Heartbeat/"+instance, b)
	if draining {
		m.site.rec.note("server %s says that it is draining, acknowledged: %t", instance, ok)
		if ok {
			s.acknowledged(time.Now())
		}
	}
	return ok
}

// deregister says that the server has left.
func (m *machine) deregister() {
	b, _ := (&message.Leaving{Born: m.server.bornAt()}).MarshalMsg(nil) // to memory, cannot fail
	ok := m.post("/Instances.Deregister/"+m.server.name(), b)
	m.site.rec.note("server %s leaves, acknowledged: %t", m.server.name(), ok)
}

// post sends a message about the server to its agent and reports whether it was acknowledged.
func (m *machine) post(path string, body []byte) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + m.addr("control") + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/msgpack")
	req.SetConnectionClose()
	req.SetBody(body)
	err := fasthttp.DoTimeout(req, resp, ackTimeout)
	return err == nil && resp.StatusCode()/100 == 2
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
