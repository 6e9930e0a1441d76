package agent

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/registry"
)

const (
	handoverTime   = 2200 * time.Millisecond // from the stop signal until the proxy accepts no more requests; long enough for the two failed readiness probes after which the platform routes no client to this agent
	responseMargin = 600 * time.Millisecond  // reserved at the end of StopGrace for writing and delivering the last responses
	admissionTime  = 1900 * time.Millisecond // time for which a stopping agent still accepts new calls to its backend server; must be shorter than handoverTime
)

// Run serves until ctx is canceled or a component fails, then stops gracefully within Settings.StopGrace, which must exceed handoverTime plus responseMargin (2.8 s). It returns nil if the cause of the stop is context.Canceled, and otherwise the cause. Run must be called at most once.
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
	a.stopKillTimer()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// stop makes booking refuse new calls after admissionTime and stops the proxy after handoverTime, when the platform routes its clients elsewhere. Run then drains the links, until the peers have received all answers of the backend server. stop also starts a timer that calls kill in the middle of responseMargin; Run stops it by a.stopKillTimer.
func (a *Agent) stop(ctx context.Context, stopProxy func(), proxyGroup *sync.WaitGroup) {
	drainDeadline := time.Now().Add(a.Settings.StopGrace.Std() - responseMargin)
	killTimer := time.AfterFunc(time.Until(drainDeadline)+responseMargin/2, a.kill)
	a.stopKillTimer = killTimer.Stop
	a.stopping.Store(true)
	a.booking.AwaitAll()
	a.pool.Grace = a.Settings.StopGrace.Std() // ended sooner by kill
	a.proxy.Grace = a.Settings.StopGrace.Std() - handoverTime - responseMargin
	a.Log.Info("stopping", "reason", context.Cause(ctx).Error(), "in_flight", a.booking.InFlight())
	time.Sleep(admissionTime)
	a.refusesNewCalls.Store(true)
	a.announce()
	a.booking.DrainAfter(0)
	time.Sleep(handoverTime - admissionTime)
	a.Log.Info("stopping", "step", "draining the proxy")
	stopProxy()
	proxyGroup.Wait()
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

// serveHTTP serves HTTP on a listener until ctx is done.
func serveHTTP(ctx context.Context, l net.Listener, h fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: h, Name: "yuccaport", NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: 4 << 10, CloseOnShutdown: true}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	_ = l.Close()
	return nil
}
