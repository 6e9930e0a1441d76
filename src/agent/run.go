package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/drain"
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/registry"
)

const (
	handoverTime  = 2200 * time.Millisecond // from the stop signal until the proxy hands over; long enough for the two failed readiness probes after which the platform routes no client to this agent
	admissionLead = 300 * time.Millisecond  // before the handover, from which a stopping agent refuses new calls to its backend server; calls that the proxy has taken by then still find another one
)

// Run serves until ctx is canceled or a component fails, then stops gracefully within Settings.StopGrace, as it is when the stop begins. It returns nil if the cause of the stop is context.Canceled, and otherwise the cause. Run must be called at most once.
func (a *Agent) Run(ctx context.Context) error {
	a.Build()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	baseCtx := context.WithoutCancel(ctx)
	proxyCtx, stopProxy := context.WithCancel(baseCtx)
	linkCtx, stopLinks := context.WithCancel(baseCtx)
	backgroundCtx, stopBackground := context.WithCancel(baseCtx)
	defer stopProxy()
	defer stopLinks()
	defer stopBackground()
	var proxyGroup, linkGroup, backgroundGroup sync.WaitGroup
	// A component that fails stops the agent.
	goRun := func(wg *sync.WaitGroup, ctx context.Context, run func(context.Context) error) {
		wg.Go(func() {
			if err := run(ctx); err != nil {
				fail(err)
			}
		})
	}
	goRun(&linkGroup, linkCtx, a.pool.Run)
	goRun(&backgroundGroup, backgroundCtx, a.booking.Run)
	goRun(&backgroundGroup, backgroundCtx, a.follower.Run)
	goRun(&backgroundGroup, backgroundCtx, a.announcer.Run)
	goRun(&backgroundGroup, backgroundCtx, (&registry.PeerAnnouncer{Announcer: a.announcer, Follower: a.follower}).Run)
	goRun(&backgroundGroup, backgroundCtx, a.quarantine.Run)
	if a.rollout != nil {
		goRun(&backgroundGroup, backgroundCtx, a.rollout.Run)
		goRun(&backgroundGroup, backgroundCtx, a.awaitRollouts)
	}
	goRun(&backgroundGroup, backgroundCtx, a.quota.Run)
	goRun(&backgroundGroup, backgroundCtx, a.watchBackend)
	goRun(&backgroundGroup, backgroundCtx, a.watchSettings)
	goRun(&backgroundGroup, backgroundCtx, func(ctx context.Context) error { return serveHTTP(ctx, a.ReadyListener, a.ReadyHandler) })
	goRun(&backgroundGroup, backgroundCtx, func(ctx context.Context) error { return serveHTTP(ctx, a.HeartbeatListener, a.HeartbeatHandler) })
	if a.MetricsListener != nil {
		goRun(&backgroundGroup, backgroundCtx, func(ctx context.Context) error { return serveHTTP(ctx, a.MetricsListener, a.serveMetrics) })
	}
	goRun(&proxyGroup, proxyCtx, a.proxy.Run)

	<-ctx.Done()
	a.stop(ctx, stopProxy, &proxyGroup)
	a.quota.Leave(baseCtx)
	a.Log.Info("stopping", "step", "draining the links", "in_flight", a.booking.InFlight())
	stopLinks()
	linkGroup.Wait()
	a.Log.Info("stopping", "step", "stopping the other components")
	stopBackground()
	backgroundGroup.Wait()
	a.cancelKill()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// stop carries out the plan of the stop up to the end of the proxy, which follows the plan by itself; booking refuses new calls admissionLead before the handover. Run then drains the links, until the peers have received all answers of the backend server. stop also starts the task that calls kill; Run ends it by a.cancelKill.
func (a *Agent) stop(ctx context.Context, stopProxy func(), proxyGroup *sync.WaitGroup) {
	plan := drain.NewPlan(clock.NowWithSuspension(), a.stopGrace(), handoverTime)
	killCtx, cancelKill := context.WithCancel(context.WithoutCancel(ctx))
	a.cancelKill = cancelKill
	go func() {
		if plan.Await(killCtx, plan.Kill) == nil {
			a.kill()
		}
	}()
	a.stopping.Store(true)
	a.pool.Grace = plan.Kill // an upper bound: kill ends the drain of the links
	a.pool.StopBegan(plan.Signal)
	a.proxy.Drain(plan)
	a.Log.Info("stopping", "reason", context.Cause(ctx).Error(), "in_flight", a.booking.InFlight(), "handover", plan.Handover.String(), "last_answer", plan.LastAnswer.String(), "kill", plan.Kill.String())
	_ = plan.Await(killCtx, plan.Handover-admissionLead)
	a.refusesNewCalls.Store(true)
	a.announce()
	a.booking.DrainAfter(0)
	_ = plan.Await(killCtx, plan.Handover)
	a.Log.Info("stopping", "step", "draining the proxy")
	proxyGroup.Wait()
	stopProxy()
}

// stopGrace returns the time from the stop signal until the process is killed.
func (a *Agent) stopGrace() time.Duration {
	a.backendMu.Lock()
	defer a.backendMu.Unlock()
	return a.Settings.StopGrace.Std()
}

// kill aborts the calls in flight, shortly before StopGrace ends.
func (a *Agent) kill() {
	a.Log.Info("calls cut at the planned stop", "reason", "stop_grace has ended", "cut", a.booking.InFlight())
	a.proxy.Kill()
	a.pool.Kill()
	a.booking.ReleaseCancelled()
}

func (a *Agent) serveMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == quarantine.Path {
		a.quarantine.ServeHTTP(ctx)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	a.Metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}
