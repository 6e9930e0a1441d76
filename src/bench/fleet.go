package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
)

const (
	storeTimeout = 2 * time.Second
	readyPoll    = 10 * time.Millisecond
)

// Fleet is a store stand-in and a daemon beside each backend stand-in of a deployment, all on loopback sockets.
type Fleet struct {
	Deployment Deployment
	Profile    settings.Profile
	Baseline   bool // every daemon watches the store by itself
	Dispatch   dispatch.Settings
	ColdStart  time.Duration // of backend servers added from now on
	Seed       uint64
	Log        logr.Logger
	OnInForce  func(n *Node, f *daemon.ActiveState) // called with each state that comes into force, nil for none

	Keyspace *standin.Keyspace // the store's content and faults, made by Start unless set
	Runs     *standin.RunLog   // what the backend stand-ins ran, made by Start unless set

	mu         sync.Mutex
	nodes      []*Node
	fabric     *fabric       // network between the daemons with faults, nil for plain sockets
	storeBytes atomic.Uint64 // at the store's sockets
	storeAddr  netip.AddrPort
	stopStore  context.CancelFunc
	storeDone  chan struct{}
}

// Start opens the store, accepts the deployment's documents, and starts every daemon.
func (f *Fleet) Start(ctx context.Context) error {
	if f.Keyspace == nil {
		f.Keyspace = &standin.Keyspace{}
	}
	if f.Runs == nil {
		f.Runs = &standin.RunLog{}
	}
	if err := f.startStore(); err != nil {
		return err
	}
	for _, s := range f.Deployment.Services {
		if _, err := f.Editor().Apply(ctx, ledger.Edit{Service: s.Name, Data: s.Document, File: s.Name}); err != nil {
			return err
		}
	}
	for _, s := range f.Deployment.Services {
		for i := range s.Servers {
			if _, err := f.AddNode(s.Name, f.Deployment.Domains[i%len(f.Deployment.Domains)]); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.storeAddr = l.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithCancel(context.Background())
	f.stopStore = cancel
	f.storeDone = make(chan struct{})
	s := &standin.StoreServer{Listener: &countedListener{Listener: l, bytes: &f.storeBytes}, Keyspace: f.Keyspace, Log: f.Log}
	go func() {
		defer close(f.storeDone)
		_ = s.Run(ctx)
	}()
	return nil
}

// Store returns a client of the fleet's store.
func (f *Fleet) Store() kv.Store {
	return &kv.Remote{Addr: f.storeAddr, Prefix: "yuccaport/", Timeout: storeTimeout}
}

// Editor returns an editor on the fleet's store.
func (f *Fleet) Editor() *ledger.Editor {
	return &ledger.Editor{Store: f.Store(), Now: time.Now, Log: f.Log}
}

// AddNode starts a backend server of a service and a daemon beside it.
func (f *Fleet) AddNode(service, domain string) (*Node, error) {
	f.mu.Lock()
	n := &Node{Index: len(f.nodes), Service: service, Domain: domain, fleet: f}
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	if err := n.startBackend(); err != nil {
		return nil, err
	}
	return n, n.StartDaemon()
}

// Nodes returns all nodes ever added.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Node(nil), f.nodes...)
}

// AwaitReady waits until every running daemon is ready and knows every running daemon.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for {
		waiting := f.notReady()
		if waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d daemons not ready: %w", waiting, ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

func (f *Fleet) notReady() int {
	running := 0
	for _, n := range f.Nodes() {
		if n.Running() {
			running++
		}
	}
	waiting := 0
	for _, n := range f.Nodes() {
		if !n.Running() {
			continue
		}
		if !n.Daemon().Ready() || readyMembers(n.Daemon().ActiveState()) < running {
			waiting++
		}
	}
	return waiting
}

func readyMembers(f *daemon.ActiveState) int {
	n := 0
	for _, m := range f.View.Members {
		if m.Ready {
			n++
		}
	}
	return n
}

// Stop ends every daemon as planned, then the backend servers and the store.
func (f *Fleet) Stop() error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, n := range f.Nodes() {
		wg.Go(func() {
			err := n.Stop()
			n.StopBackend()
			mu.Lock()
			errs = append(errs, err)
			mu.Unlock()
		})
	}
	wg.Wait()
	f.stopStore()
	<-f.storeDone
	return errors.Join(errs...)
}
