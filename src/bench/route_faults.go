package bench

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/standin"
)

const (
	routeFaultFrom  = 0.2 // share of the run after which faults begin
	routeFaultUntil = 0.7 // and end
	slowFactor      = 20
	coldTime        = 2 * time.Second
	lostAnswerShare = 0.3
	rollingPause    = 100 * time.Millisecond
	readyLimit      = 10 * time.Second
)

// RouteFaultNames returns the faults that Route can bring about, alone or together.
func RouteFaultNames() []string {
	return []string{"slow_server", "lying_load", "cold_start", "shed", "kill_half", "lost_domain", "stalled_answers", "drain_all", "store_down", "lost_answers"}
}

// bring begins a fault, and ends it if it can end.
func (r *Route) bring(ctx context.Context, name string) {
	if !clock.Sleep(ctx, time.Until(r.began.Add(time.Duration(routeFaultFrom*float64(r.Duration))))) {
		return
	}
	r.say("fault %s begins", name)
	switch name {
	case "cold_start":
		r.addCold(ctx)
	case "kill_half":
		r.kill(r.half())
	case "lost_domain":
		r.kill(r.inDomain(r.Deployment.Domains[1]))
	case "drain_all":
		r.replaceAll(ctx)
	default:
		r.passing(ctx, name)
	}
}

// passing begins a fault that ends before the run does.
func (r *Route) passing(ctx context.Context, name string) {
	r.set(name, true)
	clock.Sleep(ctx, time.Until(r.began.Add(time.Duration(routeFaultUntil*float64(r.Duration)))))
	r.set(name, false)
	r.say("fault %s ends", name)
}

func (r *Route) set(name string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.nodes[0].Backend
	f := first.Faults()
	store := r.fleet.Keyspace.Faults()
	switch name {
	case "slow_server":
		f.SlowFactor = share(on, slowFactor)
	case "lying_load":
		f.LieLoad = on
	case "shed":
		f.ShedAll = on
	case "stalled_answers":
		f.AcceptNeverAnswer = on
	case "store_down":
		store.Down = on
	case "lost_answers":
		store.LoseAnswers = share(on, lostAnswerShare)
	}
	first.SetFaults(f)
	r.fleet.Keyspace.SetFaults(store)
}

func share(on bool, v float64) float64 {
	if on {
		return v
	}
	return 0
}

// addCold adds a backend server that is slow at its start.
func (r *Route) addCold(ctx context.Context) {
	r.fleet.ColdStart = coldTime
	if _, err := r.fleet.AddNode(r.Deployment.Services[0].Name, r.Deployment.Domains[0]); err != nil {
		r.say("cold server not started: %v", err)
	}
	_ = ctx
}

// half returns every other node of the first service.
func (r *Route) half() []*Node {
	var out []*Node
	for i, n := range r.nodes {
		if n.Service == r.Deployment.Services[0].Name && i%2 == 0 {
			out = append(out, n)
		}
	}
	return out
}

func (r *Route) inDomain(domain string) []*Node {
	var out []*Node
	for _, n := range r.nodes {
		if n.Domain == domain {
			out = append(out, n)
		}
	}
	return out
}

// kill ends daemons and their backend servers without notice; the callers beside them end too.
func (r *Route) kill(nodes []*Node) {
	var wg sync.WaitGroup
	for _, n := range nodes {
		r.callerOf(n).gone.Store(true)
		n.Backend.SetFaults(standin.BackendFaults{Dead: true})
		wg.Go(func() {
			if n.Running() {
				n.Kill()
			}
		})
	}
	wg.Wait()
	r.say("%d daemons killed", len(nodes))
}

func (r *Route) callerOf(n *Node) *routeCaller {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.callers {
		if c.node == n {
			return c
		}
	}
	return &routeCaller{}
}

// replaceAll drains and replaces one daemon after another.
func (r *Route) replaceAll(ctx context.Context) {
	for _, n := range r.nodes {
		if ctx.Err() != nil || !n.Running() {
			continue
		}
		r.retire(n)
		n.Backend.Drain(true)
		if err := n.Stop(); err != nil {
			r.say("daemon %d did not stop: %v", n.Index, err)
		}
		n.Backend.Drain(false)
		if err := n.StartDaemon(); err != nil {
			r.say("daemon %d not replaced: %v", n.Index, err)
			return
		}
		r.awaitReady(ctx, n)
	}
	r.say("all daemons replaced")
}

func (r *Route) retire(n *Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retired = append(r.retired, n.Daemon())
}

func (r *Route) awaitReady(ctx context.Context, n *Node) {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for !n.Daemon().Ready() && ctx.Err() == nil {
		time.Sleep(readyPoll)
	}
	clock.Sleep(ctx, rollingPause)
}
