package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
)

const (
	lateWorkGrace = 2 * time.Second
	warmUp        = time.Second // of calls that are not measured
)

// Route measures callers' requests through real daemons under open-loop load.
type Route struct {
	Deployment Deployment
	Rate       float64 // calls a second at each daemon
	Duration   time.Duration
	Policy     dispatch.Selection // empty for the product's own
	Baseline   dispatch.Selection // measured after it on the same calls and faults, empty for none
	Faults     []string           // see RouteFaultNames
	Seed       uint64
	Log        logr.Logger
	Progress   io.Writer // a line for each step

	fleet   *Fleet
	tally   *routeTally
	mix     []routeMix
	photo   []byte
	callers []*routeCaller
	nodes   []*Node // at the start
	began   time.Time

	mu      sync.Mutex
	retired []*daemon.Daemon // replaced or killed
}

// Run measures the policy and then the baseline; an error is of kind problem.Usage or tells why the fleet could not be run.
func (r *Route) Run(ctx context.Context) (RouteReport, error) {
	if err := r.check(); err != nil {
		return RouteReport{}, err
	}
	report, err := r.measure(ctx, r.Policy)
	if err != nil || r.Baseline == "" {
		return report, err
	}
	base, err := r.measure(ctx, r.Baseline)
	report.Baseline = &base
	return report, err
}

func (r *Route) check() error {
	if r.Rate <= 0 || r.Duration <= 0 {
		return problem.New(problem.Usage, "--rate, --duration", fmt.Sprintf("%g calls a second for %s", r.Rate, r.Duration), "give numbers above 0")
	}
	for _, f := range r.Faults {
		if !slices.Contains(RouteFaultNames(), f) {
			return problem.New(problem.Usage, "--faults", fmt.Sprintf("no fault %q", f), "use "+strings.Join(RouteFaultNames(), ", "))
		}
	}
	for _, s := range []dispatch.Selection{r.Policy, r.Baseline} {
		if !slices.Contains([]dispatch.Selection{"", dispatch.SelectTwoChoices, dispatch.SelectRoundRobin, dispatch.SelectLeastInFlight}, s) {
			return problem.New(problem.Usage, "--policy, --baseline", fmt.Sprintf("no policy %q", s), "use two_choices, round_robin or least_in_flight")
		}
	}
	return nil
}

// measure runs one fleet.
func (r *Route) measure(ctx context.Context, policy dispatch.Selection) (RouteReport, error) {
	if err := r.build(policy); err != nil {
		return RouteReport{}, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	err := r.fleet.Start(startCtx)
	if err == nil {
		err = r.fleet.AwaitReady(startCtx)
	}
	if err == nil {
		r.say("%d daemons ready, policy %s, %g calls a second each for %s, faults %v", len(r.fleet.Nodes()), policy, r.Rate, r.Duration, r.Faults)
		err = r.load(ctx)
	}
	report := r.report()
	if serr := r.fleet.Stop(); err == nil {
		err = serr
	}
	return report, err
}

func (r *Route) build(policy dispatch.Selection) error {
	var err error
	if r.mix, err = mixes(r.Deployment); err != nil {
		return err
	}
	r.fleet = &Fleet{Deployment: r.Deployment, Profile: settings.ProfileFast, Dispatch: dispatch.Settings{Selection: policy}, Seed: r.Seed, Log: r.Log}
	r.tally = newRouteTally()
	r.callers, r.retired = nil, nil
	r.photo = make([]byte, photoSize)
	random := rand.New(rand.NewPCG(r.Seed, 2))
	for i := range r.photo {
		r.photo[i] = byte(random.Uint32())
	}
	return nil
}

// load warms up, then sends the measured calls while the faults come and go.
func (r *Route) load(ctx context.Context) error {
	nodes := r.fleet.Nodes()
	r.nodes = nodes
	r.send(ctx, nodes, newRouteTally(), warmUp, "warm")
	before := r.attempts()
	r.began = time.Now()
	var faults, rest sync.WaitGroup
	for _, name := range r.Faults {
		faults.Go(func() { r.bring(ctx, name) })
	}
	var derr error
	rest.Go(func() {
		direct, cancel := context.WithTimeout(ctx, r.Duration)
		defer cancel()
		derr = r.direct(direct, r.tally)
	})
	r.send(ctx, nodes, r.tally, r.Duration, "")
	rest.Wait()
	faults.Wait()
	r.tally.attempts = r.attempts() - before
	return derr
}

// send runs a caller beside each daemon for a time.
func (r *Route) send(ctx context.Context, nodes []*Node, tally *routeTally, d time.Duration, prefix string) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	callers := []*routeCaller{}
	var wg sync.WaitGroup
	for _, n := range nodes {
		c := &routeCaller{route: r, node: n, prefix: prefix, tally: tally, rand: rand.New(rand.NewPCG(r.Seed, uint64(n.Index)+10))}
		c.connect()
		callers = append(callers, c)
		wg.Go(func() { c.run(ctx) })
	}
	r.mu.Lock()
	r.callers = callers
	r.mu.Unlock()
	wg.Wait()
}

// attempts returns how many attempts all daemons that ever ran have made.
func (r *Route) attempts() uint64 {
	r.mu.Lock()
	daemons := slices.Clone(r.retired)
	r.mu.Unlock()
	for _, n := range r.fleet.Nodes() {
		daemons = append(daemons, n.Daemon())
	}
	total := uint64(0)
	for _, d := range daemons {
		total += counter(d, "yuccaport_dispatch_attempts_total")
	}
	return total
}

// report judges the run by what callers have seen and what the backend servers have run.
func (r *Route) report() RouteReport {
	t, runs := r.tally, r.fleet.Runs
	t.mu.Lock()
	defer t.mu.Unlock()
	out := RouteReport{
		Calls: t.calls, OK: t.ok, RefusedNotRun: t.refused, Failed: t.failed,
		P50MS: quantile(t.total, 50), P99MS: quantile(t.total, 99),
		AddedP50MS: quantile(t.added, 50), AddedP99MS: quantile(t.added, 99), DirectAddedP99MS: quantile(t.direct, 99),
		Doubled: runs.Doubled(), Crossed: t.crossed, Truncated: t.truncated,
		SlotsExceeded: runs.SlotsExceeded(), LateNewWork: runs.Late(lateWorkGrace),
	}
	for _, token := range t.notRun {
		if runs.Count(token) > 0 {
			out.NotRunButRan++
		}
	}
	if t.calls > 0 {
		out.AttemptsPerCall = float64(t.attempts) / float64(t.calls)
		out.GoodputShare = float64(t.ok) / min(float64(t.calls), r.capacity()*r.Duration.Seconds())
	}
	r.say("added p50 %.3f ms, direct %.3f ms", out.AddedP50MS, quantile(t.direct, 50))
	for reason, n := range t.reasons {
		r.say("%6d %s", n, reason)
	}
	return out
}

// capacity returns how many calls a second all backend servers run at most.
func (r *Route) capacity() float64 {
	slots := 0
	for _, s := range r.Deployment.Services {
		slots += s.Servers * r.Deployment.Slots
	}
	return float64(slots) / r.Deployment.WorkTime.Seconds()
}

func (r *Route) say(format string, args ...any) {
	if r.Progress != nil {
		_, _ = fmt.Fprintf(r.Progress, format+"\n", args...)
	}
}
