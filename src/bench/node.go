package bench

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

// workJitter is the share by which the time of a request varies either way.
const workJitter = 0.2

// Node is one VM of a fleet: a backend stand-in with a daemon beside it.
type Node struct {
	Index   int
	Service string
	Domain  string
	Backend *standin.Backend

	fleet       *Fleet
	backendAddr netip.AddrPort
	stopBackend context.CancelFunc
	backendDone chan struct{}

	mu      sync.Mutex
	daemon  *daemon.Daemon
	port    *port // nil without a fabric
	running bool
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

func (n *Node) startBackend() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d := n.fleet.Deployment
	n.backendAddr = l.Addr().(*net.TCPAddr).AddrPort()
	n.Backend = &standin.Backend{
		Listener: l, Name: n.backendAddr.String(), Service: n.Service, Slots: d.Slots, Connections: d.Connections,
		ConnectCost: d.ConnectCost, Work: d.WorkTime, Jitter: workJitter, Seed: n.fleet.Seed + uint64(n.Index),
		ColdStart: n.fleet.ColdStart, Runs: n.fleet.Runs,
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopBackend = cancel
	n.backendDone = make(chan struct{})
	go func() {
		defer close(n.backendDone)
		_ = n.Backend.Run(ctx)
	}()
	return nil
}

// StartDaemon starts a new daemon, with a new member ID, beside the backend server.
func (n *Node) StartDaemon() error {
	d, err := n.open()
	if err != nil {
		return err
	}
	d.Build()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.mu.Lock()
	n.daemon, n.running, n.cancel, n.done = d, true, cancel, done
	n.mu.Unlock()
	go func() {
		defer close(done)
		err := d.Run(ctx)
		n.mu.Lock()
		n.err = err
		n.running = false
		n.mu.Unlock()
	}()
	return nil
}

// open makes a daemon on listeners of the system's choice.
func (n *Node) open() (*daemon.Daemon, error) {
	d := &daemon.Daemon{Settings: n.settings(), Store: n.fleet.Store(), DirectWatch: n.fleet.Baseline, DispatchSettings: n.fleet.Dispatch, Log: n.fleet.Log.WithValues("node", n.Index)}
	var err error
	if d.ProxyListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if d.ControlListener, d.ProbeConn, err = listenControl(); err != nil {
		return nil, err
	}
	n.gate(d)
	if hook := n.fleet.OnInForce; hook != nil {
		d.OnStateChange = func(f *daemon.ActiveState) { hook(n, f) }
	}
	return d, nil
}

// gate leads the daemon's traffic through the fleet's fabric, if there is one.
func (n *Node) gate(d *daemon.Daemon) {
	if n.fleet.fabric == nil {
		return
	}
	p := n.fleet.fabric.add(n.Domain, d.ControlListener.Addr())
	n.mu.Lock()
	n.port = p
	n.mu.Unlock()
	d.ControlListener = &gatedListener{Listener: d.ControlListener, port: p}
	d.ProbeConn = &gatedPackets{PacketConn: d.ProbeConn, port: p, closed: make(chan struct{})}
	d.Store = &gatedStore{store: d.Store, port: p}
	d.Dial = p.dial
}

func (n *Node) settings() settings.Settings {
	s := settings.Default()
	s.Service, s.Domain, s.Region, s.Profile = n.Service, n.Domain, n.fleet.Deployment.Region, n.fleet.Profile
	s.Backend.Addr, s.Backend.Slots, s.Backend.Connections = n.backendAddr, n.fleet.Deployment.Slots, n.fleet.Deployment.Connections
	s.Store.Addr = n.fleet.storeAddr
	return s
}

// listenControl opens a TCP listener and the UDP socket of the same number.
func listenControl() (net.Listener, net.PacketConn, error) {
	const tries = 20 // the number that the system chose for TCP can be taken for UDP
	var err error
	for range tries {
		var l net.Listener
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, nil, err
		}
		var p net.PacketConn
		if p, err = net.ListenPacket("udp", l.Addr().String()); err == nil {
			return l, p, nil
		}
		_ = l.Close()
	}
	return nil, nil, err
}

// Daemon returns the daemon that runs now or ran last.
func (n *Node) Daemon() *daemon.Daemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.daemon
}

// Running tells whether the daemon runs.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running
}

// Stop ends the daemon as planned and waits for it.
func (n *Node) Stop() error {
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.mu.Unlock()
	cancel()
	<-done
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Kill ends the daemon at once, as a crash would.
func (n *Node) Kill() {
	n.mu.Lock()
	d, cancel, done := n.daemon, n.cancel, n.done
	n.running = false
	n.mu.Unlock()
	d.Kill()
	cancel()
	<-done
}

// StopBackend ends the backend server.
func (n *Node) StopBackend() {
	n.stopBackend()
	<-n.backendDone
}

// ProxyAddr returns the address on which the daemon serves callers.
func (n *Node) ProxyAddr() netip.AddrPort { return addrPort(n.Daemon().ProxyListener.Addr()) }

func addrPort(a net.Addr) netip.AddrPort {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.AddrPort()
	}
	return netip.AddrPort{}
}
