package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
)

const (
	startLimit    = 2 * time.Minute
	quietTime     = 10 * time.Second // Distribute.Quiet when it is 0
	settleTime    = 15 * time.Second // after the last change
	editLimit     = time.Minute      // that one edit is tried
	editRetry     = 50 * time.Millisecond
	settlePoll    = 10 * time.Millisecond
	maxDomains    = 7
	editors       = 3 // operators that edit at the same time
	watchEachName = "watch_each"
)

// Distribute measures how accepted changes come into force on real daemons, each with sockets of its own.
type Distribute struct {
	Daemons  int
	Changes  int
	Rate     float64 // changes a second
	Profile  settings.Profile
	Quiet    time.Duration // between the start and the first change, in which the news of the start ebbs away; 0 for 10 s
	Baseline string        // watch_each for daemons that each watch the store, empty for none
	Faults   []string      // see FaultNames
	Seed     uint64
	Log      logr.Logger
	Progress io.Writer // a line for each step

	fleet    *Fleet
	observer *observer
	began    time.Time
	length   time.Duration

	mu      sync.Mutex
	rand    *rand.Rand       // of faults and churn
	daemons []*daemon.Daemon // all that ever ran
	changes []change
	outages []outage
	away    map[*Node]bool // down for a while by a fault or by churn
}

// Run measures one fleet; an error is of kind problem.Usage or tells why the fleet could not be run.
func (d *Distribute) Run(ctx context.Context) (DistributeReport, error) {
	if err := d.check(); err != nil {
		return DistributeReport{}, err
	}
	d.build()
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	r, err := d.measure(ctx, startCtx)
	if serr := d.fleet.Stop(); err == nil {
		err = serr
	}
	return r, err
}

func (d *Distribute) check() error {
	switch {
	case d.Daemons < 2 || d.Daemons > 1000:
		return problem.New(problem.Usage, "--daemons", fmt.Sprintf("%d daemons", d.Daemons), "give 2 to 1000")
	case d.Changes < 1:
		return problem.New(problem.Usage, "--changes", fmt.Sprintf("%d changes", d.Changes), "give 1 or more")
	case d.Rate <= 0:
		return problem.New(problem.Usage, "--rate", fmt.Sprintf("%g changes a second", d.Rate), "give a number above 0")
	case d.Baseline != "" && d.Baseline != watchEachName:
		return problem.New(problem.Usage, "--baseline", fmt.Sprintf("no baseline %q", d.Baseline), "give "+watchEachName)
	}
	for _, name := range d.Faults {
		if !slices.Contains(FaultNames(), name) {
			return problem.New(problem.Usage, "--faults", fmt.Sprintf("no fault %q", name), fmt.Sprintf("use any of %v", FaultNames()))
		}
	}
	return nil
}

func (d *Distribute) build() {
	d.rand = rand.New(rand.NewPCG(d.Seed, 4))
	d.observer = newObserver()
	d.away = map[*Node]bool{}
	d.length = time.Duration(float64(d.Changes) / d.Rate * float64(time.Second))
	d.fleet = &Fleet{
		Deployment: Synthetic(d.Daemons, min(maxDomains, max(3, d.Daemons/6))), Profile: d.Profile, Baseline: d.Baseline != "",
		Seed: d.Seed, Log: d.Log, OnInForce: d.observer.note, fabric: newFabric(),
	}
	if d.Quiet == 0 {
		d.Quiet = quietTime
	}
	if d.Progress == nil {
		d.Progress = io.Discard
	}
}

func (d *Distribute) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Progress, format+"\n", args...)
}

func (d *Distribute) measure(ctx, startCtx context.Context) (DistributeReport, error) {
	r := DistributeReport{Daemons: d.Daemons}
	t := time.Now()
	if err := d.fleet.Start(startCtx); err != nil {
		return r, err
	}
	for _, n := range d.fleet.Nodes() {
		d.daemons = append(d.daemons, n.Daemon())
	}
	if err := d.fleet.AwaitReady(startCtx); err != nil {
		return r, err
	}
	calls := d.fleet.Keyspace.Calls()
	d.say("%d daemons know each other after %s; store reads %d, writes %d so far", d.Daemons, time.Since(t).Round(time.Millisecond), calls.Reads, calls.Writes)
	clock.Sleep(ctx, d.Quiet)
	base := d.fleet.Nodes()[0].Daemon().ActiveState().Snapshot
	docs := map[string][]byte{}
	for name, b := range base.Bodies {
		docs[name] = b.Data
	}
	before := usageOf(d.fleet, d.daemons)
	d.play(ctx)
	d.settle(ctx)
	after := usageOf(d.fleet, d.daemons)
	d.account(&r, after.minus(before), after.at.Sub(before.at))
	d.judge(&r, docs, base.Version)
	return r, ctx.Err()
}

// play makes the changes while faults and churn go on.
func (d *Distribute) play(ctx context.Context) {
	d.began = time.Now()
	d.say("%d changes at %g a second, faults %v", d.Changes, d.Rate, d.Faults)
	var wg sync.WaitGroup
	stop, cancel := context.WithCancel(ctx)
	wg.Go(func() { d.churn(stop) })
	var faults sync.WaitGroup
	for _, name := range d.Faults {
		faults.Go(func() { d.bring(ctx, name) })
	}
	d.edit(ctx)
	faults.Wait()
	cancel()
	wg.Wait()
}

// edit accepts the changes at the stated rate, each by one of a few operators.
func (d *Distribute) edit(ctx context.Context) {
	var operators []*ledger.Editor
	for range editors {
		operators = append(operators, d.fleet.Editor())
	}
	var wg sync.WaitGroup
	services := d.fleet.Deployment.Services
	rng := rand.New(rand.NewPCG(d.Seed, 5))
	at := d.began
	for i := range d.Changes {
		at = at.Add(time.Duration(rng.ExpFloat64() / d.Rate * float64(time.Second)))
		time.Sleep(time.Until(at))
		if ctx.Err() != nil {
			break
		}
		service := services[rng.IntN(len(services))].Name
		wg.Go(func() { d.apply(ctx, operators[i%editors], service, i+1) })
	}
	wg.Wait()
}

// apply tries one edit until it is accepted.
func (d *Distribute) apply(ctx context.Context, e *ledger.Editor, service string, revision int) {
	ctx, cancel := context.WithTimeout(ctx, editLimit)
	defer cancel()
	data := SyntheticDocument(service, revision)
	edit := ledger.Edit{Service: service, Data: data, File: service, EditID: fmt.Sprintf("bench-%d-%d", d.Seed, revision)}
	for {
		r, err := e.Apply(ctx, edit)
		now := time.Now()
		if err == nil {
			d.mu.Lock()
			d.changes = append(d.changes, change{version: r.Version, service: service, data: data, accepted: now})
			d.mu.Unlock()
			return
		}
		d.Log.V(1).Info("edit tried again", "service", service, "reason", err.Error())
		select {
		case <-ctx.Done():
			d.say("edit %d was not accepted: %v", revision, err)
			return
		case <-time.After(editRetry):
		}
	}
}

// settle waits until every running daemon serves the last change.
func (d *Distribute) settle(ctx context.Context) {
	var last uint64
	for _, c := range d.changes {
		last = max(last, c.version)
	}
	end := time.Now().Add(settleTime)
	for ctx.Err() == nil && time.Now().Before(end) {
		behind := 0
		for _, n := range d.fleet.Nodes() {
			if n.Running() && n.Daemon().Version() < last {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		time.Sleep(settlePoll)
	}
}

func (d *Distribute) account(r *DistributeReport, u usage, length time.Duration) {
	s, n := length.Seconds(), float64(d.Daemons)
	r.ControlBytesPerDaemonS = float64(u.controlBytes()) / s / n
	r.StoreReadsS = float64(u.reads) / s
	r.StoreWritesS = float64(u.writes) / s
	r.CPUCoreSharePerDaemon = u.cpu.Seconds() / s / n
	r.RSSBytesPerDaemon = float64(residentBytes()) / n
	d.say("control bytes a daemon and second: links %.0f, roster %.0f, store %.0f, over %.1f s",
		float64(u.linkBytes)/s/n, float64(u.rosterBytes)/s/n, float64(u.storeBytes)/s/n, s)
}

// judge fills in what the observer saw.
func (d *Distribute) judge(r *DistributeReport, docs map[string][]byte, version uint64) {
	o := d.observer
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range d.fleet.Nodes() {
		if l := o.lives[n.Daemon()]; l != nil && !n.Running() && l.ended.IsZero() {
			l.ended = time.Now()
		}
	}
	slowest := r.converge(o, d.changes, d.outages)
	r.VersionsBackward = o.backward
	r.DanglingRoutes = o.dangling
	r.PartialVersions = o.partial(docs, version, d.changes)
	for _, c := range slowest {
		d.say("slow change: version %d accepted %.3f s after the start: %s", c.version, c.accepted.Sub(d.began).Seconds(), o.laggard(c, d.outages))
	}
}

// laggard names the daemon that was last to serve a change.
func (o *observer) laggard(c change, outages []outage) string {
	var who *life
	var longest time.Duration
	for _, l := range o.lives {
		if lag, ok := l.lag(c, outages); ok && lag >= longest {
			who, longest = l, lag
		}
	}
	if who == nil {
		return "served nowhere"
	}
	return fmt.Sprintf("last node %d in %s after %s", who.node.Index, who.node.Domain, longest.Round(time.Microsecond))
}
