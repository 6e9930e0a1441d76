package bench

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/standin"
)

const (
	slowStore      = 400 * time.Millisecond // added to each call
	lostShare      = 0.3                    // of the store's writes whose answer is lost
	staleShare     = 0.3                    // of the store's reads
	crossedJitter  = 50 * time.Millisecond  // longest delay of a datagram
	herdShare      = 0.3                    // of the daemons that die at once
	pausedShare    = 0.1                    // of the daemons
	dailyRestarts  = 310.0 / 800            // of a daemon
	dailyFailures  = 5.0 / 800              // of a daemon
	churnFactor    = 10                     // times the daily rates
	churnSteps     = 2                      // at least in a run
	restartPause   = 500 * time.Millisecond // between the end of a daemon and the start of the next
	failureOneIn   = 4                      // of the churn's steps; a failure kills without notice
	secondsInADay  = 86400.0
	faultFromShare = 1.0 / 3 // of the run at which faults begin
	faultToShare   = 2.0 / 3 // of the run at which they end
)

// FaultNames returns the names of the faults that a Distribute can bring about, alone or together.
func FaultNames() []string {
	return []string{"store_down", "store_slow", "lost_answers", "crossed", "herd", "reconnect", "cut", "paused", "stale_reads"}
}

// bring begins a fault in the middle third of the run and ends it.
func (d *Distribute) bring(ctx context.Context, name string) {
	clock.Sleep(ctx, time.Until(d.began.Add(time.Duration(faultFromShare*float64(d.length)))))
	from := time.Now()
	length := time.Duration((faultToShare - faultFromShare) * float64(d.length))
	d.say("%s begins after %.1f s, for %.1f s", name, from.Sub(d.began).Seconds(), length.Seconds())
	switch name {
	case "store_down":
		d.storeFault(func(f *standin.Faults) { f.Down = true })
		clock.Sleep(ctx, length)
		d.storeFault(func(f *standin.Faults) { f.Down = false })
		d.addOutage(from, func(*Node) bool { return true })
	case "store_slow":
		d.storeFault(func(f *standin.Faults) { f.Slow = slowStore })
		clock.Sleep(ctx, length)
		d.storeFault(func(f *standin.Faults) { f.Slow = 0 })
	case "lost_answers":
		d.storeFault(func(f *standin.Faults) { f.LoseAnswers = lostShare })
		clock.Sleep(ctx, length)
		d.storeFault(func(f *standin.Faults) { f.LoseAnswers = 0 })
	case "stale_reads":
		d.storeFault(func(f *standin.Faults) { f.StaleReads = staleShare })
		clock.Sleep(ctx, length)
		d.storeFault(func(f *standin.Faults) { f.StaleReads = 0 })
	case "crossed":
		d.storeFault(func(f *standin.Faults) { f.Reorder = true })
		d.fleet.fabric.set(func() { d.fleet.fabric.jitter = crossedJitter })
		clock.Sleep(ctx, length)
		d.storeFault(func(f *standin.Faults) { f.Reorder = false })
		d.fleet.fabric.set(func() { d.fleet.fabric.jitter = 0 })
	case "herd":
		d.herd(ctx, length/2)
	case "reconnect":
		clock.Sleep(ctx, length/2)
		d.fleet.fabric.closeAll()
	case "cut":
		d.cut(ctx, from, length)
	case "paused":
		d.pause(ctx, from, length)
	}
}

func (d *Distribute) storeFault(change func(*standin.Faults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.fleet.Keyspace.Faults()
	f.Seed = d.Seed
	change(&f)
	d.fleet.Keyspace.SetFaults(f)
}

func (d *Distribute) addOutage(from time.Time, affects func(*Node) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outages = append(d.outages, outage{from: from, to: time.Now(), affects: affects})
}

// herd kills a share of the daemons at once and starts them all together.
func (d *Distribute) herd(ctx context.Context, length time.Duration) {
	nodes := d.take(int(herdShare * float64(d.Daemons)))
	each(nodes, d.kill)
	clock.Sleep(ctx, length)
	each(nodes, d.revive)
}

func (d *Distribute) cut(ctx context.Context, from time.Time, length time.Duration) {
	domain := d.fleet.Deployment.Domains[0]
	d.fleet.fabric.set(func() { d.fleet.fabric.cut = domain })
	clock.Sleep(ctx, length)
	d.fleet.fabric.set(func() { d.fleet.fabric.cut = "" })
	d.addOutage(from, func(n *Node) bool { return n.Domain == domain })
}

// pause lets some daemons stand still, unaware of it: every read, write and store call of theirs waits.
func (d *Distribute) pause(ctx context.Context, from time.Time, length time.Duration) {
	nodes := d.take(max(1, int(pausedShare*float64(d.Daemons))))
	held := map[*Node]bool{}
	for _, n := range nodes {
		held[n] = true
	}
	set := func(on bool) {
		d.fleet.fabric.set(func() {
			for _, n := range nodes {
				n.port.paused = on
			}
		})
	}
	set(true)
	clock.Sleep(ctx, length)
	set(false)
	d.addOutage(from, func(n *Node) bool { return held[n] })
	d.give(nodes)
}

// churn restarts and kills daemons at ten times the daily rates, and a few times at least.
func (d *Distribute) churn(ctx context.Context) {
	perSecond := churnFactor * (dailyRestarts + dailyFailures) * float64(d.Daemons) / secondsInADay
	period := min(time.Duration(float64(time.Second)/perSecond), d.length/(churnSteps+1))
	for i := 1; ; i++ {
		clock.Sleep(ctx, period)
		if ctx.Err() != nil {
			return
		}
		for _, n := range d.take(1) {
			if i%failureOneIn == 0 {
				d.kill(n)
			} else {
				d.stop(n)
			}
			clock.Sleep(ctx, restartPause)
			d.revive(n)
		}
	}
}

// take picks running nodes that nothing else has taken.
func (d *Distribute) take(n int) []*Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := d.fleet.Nodes()
	d.rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	var out []*Node
	for _, x := range nodes {
		if len(out) < n && !d.away[x] {
			d.away[x] = true
			out = append(out, x)
		}
	}
	return out
}

func (d *Distribute) give(nodes []*Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range nodes {
		delete(d.away, n)
	}
}

func (d *Distribute) kill(n *Node) {
	d.observer.end(n)
	n.Kill()
}

func (d *Distribute) stop(n *Node) {
	d.observer.end(n)
	if err := n.Stop(); err != nil {
		d.say("node %d did not stop as planned: %v", n.Index, err)
	}
}

func (d *Distribute) revive(n *Node) {
	if err := n.StartDaemon(); err != nil {
		d.say("node %d did not start: %v", n.Index, err)
		return
	}
	d.mu.Lock()
	d.daemons = append(d.daemons, n.Daemon())
	d.mu.Unlock()
	d.give([]*Node{n})
}

// each calls f for all nodes at once.
func each(nodes []*Node, f func(*Node)) {
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() { f(n) })
	}
	wg.Wait()
}
