package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/bench"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/settings"
)

const (
	startTimeout    = 30 * time.Second
	convergeTimeout = 10 * time.Second
	convergePoll    = time.Millisecond
	callerPause     = 5 * time.Millisecond // between the calls of one caller
)

// Demo is one run.
type Demo struct {
	Duration time.Duration // of the callers' load
	Callers  int
	Seed     uint64
	Log      logr.Logger
	Progress io.Writer // a line for each step

	fleet   *bench.Fleet
	mu      sync.Mutex
	report  Report
	refused []string // tokens of the attempts answered as not run
}

// Run plays the demo and returns what was seen.
//
// The steps lie at fractions of its duration: an edit at a half, a drain at six
// tenths, a crash at seven tenths, and its VM's return at eight tenths.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	d.fleet = &bench.Fleet{Deployment: bench.Hollins(), Profile: settings.ProfileFast, Seed: d.Seed, Log: d.Log}
	ctx, cancel := context.WithTimeout(ctx, startTimeout+d.Duration+convergeTimeout)
	defer cancel()
	d.say("starting the store stand-in, 10 backend servers and a daemon beside each")
	if err := d.fleet.Start(ctx); err != nil {
		return d.report, err
	}
	err := d.play(ctx)
	if serr := d.fleet.Stop(); err == nil {
		err = serr
	}
	d.count()
	return d.report, err
}

func (d *Demo) play(ctx context.Context) error {
	if err := d.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	d.say("%d callers read diaries, upload photos and pay deposits for %s", d.Callers, d.Duration)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range d.Callers {
		wg.Go(func() { d.call(uint64(i), &stop) })
	}
	err := d.steps(ctx)
	stop.Store(true)
	wg.Wait()
	if err != nil {
		return err
	}
	return d.awaitInForce(ctx)
}

// steps changes the mesh while the callers go on.
func (d *Demo) steps(ctx context.Context) error {
	nodes := d.fleet.Nodes()
	start := time.Now()
	at := func(share float64) {
		time.Sleep(time.Until(start.Add(time.Duration(share * float64(d.Duration)))))
	}
	at(0.5)
	if err := d.edit(ctx); err != nil {
		return err
	}
	at(0.6)
	d.say("draining the backend server of node 1")
	nodes[1].Daemon().Drain()
	at(0.7)
	d.say("killing the daemon of node 2 without notice")
	nodes[2].Kill()
	at(0.8)
	d.say("node 2 returns as a new member")
	if err := nodes[2].StartDaemon(); err != nil {
		return err
	}
	at(1)
	return nil
}

// edit accepts a changed document and measures how long it takes to be in force everywhere.
func (d *Demo) edit(ctx context.Context) error {
	doc := strings.Replace(string(bench.Hollins().Services[0].Document), `after = "150ms"`, `after = "120ms"`, 1)
	r, err := d.fleet.Editor().Apply(ctx, ledger.Edit{Service: "bookings", Data: []byte(doc), File: "bookings.toml", Note: "hedge sooner"})
	if err != nil {
		return err
	}
	start := time.Now()
	d.report.AppliedVersion = r.Version
	if err := d.awaitInForce(ctx); err != nil {
		return err
	}
	d.report.ConvergenceMS = float64(time.Since(start).Microseconds()) / 1e3
	d.say("edit of bookings accepted as version %d, in force everywhere after %.1f ms", r.Version, d.report.ConvergenceMS)
	return nil
}

// awaitInForce waits until every running daemon serves the accepted version.
func (d *Demo) awaitInForce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	for {
		running, inForce := 0, 0
		for _, n := range d.fleet.Nodes() {
			if !n.Running() {
				continue
			}
			running++
			if n.Daemon().Version() >= d.report.AppliedVersion {
				inForce++
			}
		}
		d.report.Proxies, d.report.ProxiesInForce = running, inForce
		if running == inForce || ctx.Err() != nil {
			return nil // a laggard shows in the report
		}
		time.Sleep(convergePoll)
	}
}

// call sends one caller's requests until it is told to stop.
func (d *Demo) call(seed uint64, stop *atomic.Bool) {
	c := newCaller(d.proxies, d.Seed<<16|seed)
	for n := 0; !stop.Load(); n++ {
		r := c.next(n)
		v := c.do(r)
		d.mu.Lock()
		d.report.Calls++
		switch v {
		case failed:
			d.report.Failed++
		case mayHaveRun:
			d.report.Failed++
			d.report.MayHaveRun++
		case crossed:
			d.report.Crossed++
		case truncated:
			d.report.Truncated++
		case whole:
		}
		d.mu.Unlock()
		time.Sleep(callerPause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused = append(d.refused, c.refused...)
}

// proxies returns the daemons that callers know of: all that run.
func (d *Demo) proxies() []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range d.fleet.Nodes() {
		if n.Running() {
			out = append(out, n.ProxyAddr())
		}
	}
	return out
}

// count takes from the run log what only the backend servers know.
func (d *Demo) count() {
	d.report.Doubled = d.fleet.Runs.Doubled()
	for _, token := range d.refused {
		if d.fleet.Runs.Count(token) > 0 {
			d.report.NotRunButRan++
		}
	}
}

func (d *Demo) say(format string, args ...any) {
	if d.Progress != nil {
		fmt.Fprintf(d.Progress, format+"\n", args...)
	}
}
