package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// agent is a process of the system beside a server.
type agent struct {
	index   int
	service string
	dir     string
	ports   ports
	cmd     *exec.Cmd
	done    chan struct{}
	grace   time.Duration
	quota   bool
}

type ports struct{ callers, links, ready, heartbeats, metrics, app, store int }

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

const (
	firstPort = 18000
	portCount = 14000 // below those that the system gives to outgoing connections
)

var portsGiven = map[int]bool{}

// freePort returns a port that is free now.
func freePort() int {
	for {
		p := firstPort + rand.IntN(portCount)
		if portsGiven[p] {
			continue
		}
		l, err := net.Listen("tcp", addr(p))
		if err != nil {
			continue
		}
		_ = l.Close()
		portsGiven[p] = true
		return p
	}
}

func newAgent(i int, service, dir string) *agent {
	a := &agent{index: i, service: service, dir: dir, grace: 6 * time.Second}
	for _, p := range []*int{&a.ports.callers, &a.ports.links, &a.ports.ready, &a.ports.heartbeats, &a.ports.metrics, &a.ports.app, &a.ports.store} {
		*p = freePort()
	}
	return a
}

func (a *agent) name() string { return fmt.Sprintf("sidecar-mid-a-%d", a.index+1) }

// settings fills in deploy/settings.toml, as the platform does for a site of 10 machines.
func (a *agent) settings() string {
	s := fmt.Sprintf(`name = %q
service = %q
domain = "mid-a"
region = "midlands"
heartbeat = "1500ms"
stop_grace = "%ds"
memory_mb = 284
descriptors = 4100
link_mbps = 1000.0
[listen]
callers = %q
links = %q
ready = %q
heartbeats = %q
metrics = %q
[backend]
addr = %q
drain_time = "2000ms"
[store]
addr = %q
min_ttl = "1000ms"
max_staleness = "2000ms"
[retry_budget]
share = 0.2
reserve = 60
[dispatch]
prefer_domain_if_shared = true
`, a.name(), a.service, int(a.grace.Seconds()), addr(a.ports.callers), addr(a.ports.links), addr(a.ports.ready), addr(a.ports.heartbeats), addr(a.ports.metrics), addr(a.ports.app), addr(a.ports.store))
	if a.quota {
		s += "prefer_domain = true\n[rollout]\nmax_share = 0.1\n[revocation]\ntime = \"5000ms\"\n[quota]\nwindow = \"5s\"\nover = 0.1\nslack = 20\n"
	}
	return s
}

func (a *agent) start() {
	file := filepath.Join(a.dir, a.name()+".toml")
	must(os.WriteFile(file, []byte(a.settings()), 0o600))
	out, err := os.OpenFile(filepath.Join(a.dir, a.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/yuccaport", "agent")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + a.dir, "YUCCAPORT_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	must(cmd.Start())
	_ = out.Close()
	a.cmd, a.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		err := cmd.Wait()
		note("process %s ended: %v", a.name(), err)
		close(done)
	}(a.done)
}

func (a *agent) signal(s syscall.Signal) {
	if a.cmd != nil {
		_ = a.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (a *agent) kill() {
	a.signal(syscall.SIGKILL)
	<-a.done
}

func (a *agent) ended() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

func (a *agent) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + addr(a.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// rss returns the memory of the process in MB.
func (a *agent) rss() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", a.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(l, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// metrics prints the metrics of the process.
func (a *agent) metrics() {
	resp, err := http.Get("http://" + addr(a.ports.metrics) + "/metrics")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	_ = os.WriteFile(filepath.Join(os.TempDir(), a.name()+".metrics"), b, 0o600)
}
