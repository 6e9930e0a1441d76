package agent

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

const (
	handoverTime      = 2200 * time.Millisecond // two readiness probes of the platform, after which it sends no client here
	responseMargin    = 600 * time.Millisecond  // before the process is killed, for the last answers to be written and delivered
	admissionTime     = 1900 * time.Millisecond // for which a stopping agent still admits calls to its backend server
	linkCloseTimeout  = 200 * time.Millisecond  // for peers to close their links once no call is in flight; dead peers never do
	drainPollInterval = 20 * time.Millisecond
)

// Run serves until ctx is done, then shuts down in order within the settings' StopGrace.
func (a *Agent) Run(ctx context.Context) error {
	a.Build()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	baseCtx := context.WithoutCancel(ctx)
	proxyCtx, stopProxy := context.WithCancel(baseCtx)
	backgroundCtx, stopBackground := context.WithCancel(baseCtx)
	defer stopProxy()
	defer stopBackground()
	var proxy, background sync.WaitGroup
	goRun := func(wg *sync.WaitGroup, ctx context.Context, run func(context.Context) error) {
		wg.Go(func() {
			if err := run(ctx); err != nil {
				fail(err)
			}
		})
	}
	goRun(&background, backgroundCtx, a.pool.Run)
	goRun(&background, backgroundCtx, a.booking.Run)
	goRun(&background, backgroundCtx, a.follower.Run)
	goRun(&background, backgroundCtx, a.announcer.Run)
	goRun(&background, backgroundCtx, a.watchBackend)
	goRun(&background, backgroundCtx, a.watchSettings)
	goRun(&background, backgroundCtx, func(ctx context.Context) error { return serveHTTP(ctx, a.ReadyListener, a.ReadyHandler) })
	goRun(&background, backgroundCtx, func(ctx context.Context) error { return serveHTTP(ctx, a.HeartbeatListener, a.HeartbeatHandler) })
	if a.MetricsListener != nil {
		goRun(&background, backgroundCtx, func(ctx context.Context) error { return serveHTTP(ctx, a.MetricsListener, a.serveMetrics) })
	}
	goRun(&proxy, proxyCtx, a.proxy.Run)

	<-ctx.Done()
	a.stop(ctx, stopProxy, &proxy)
	a.Log.Info("stopping", "step", "closing links")
	stopBackground()
	background.Wait()
	a.stopKillTimer()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// stop waits until the platform sends its clients elsewhere, then drains the requests in flight.
func (a *Agent) stop(ctx context.Context, stopProxy func(), proxy *sync.WaitGroup) {
	drainDeadline := time.Now().Add(a.Settings.StopGrace.Std() - responseMargin)
	killTimer := time.AfterFunc(time.Until(drainDeadline)+responseMargin/2, a.kill)
	a.stopKillTimer = killTimer.Stop
	a.stopping.Store(true)
	a.pool.Grace = linkCloseTimeout
	a.proxy.Grace = a.Settings.StopGrace.Std() - handoverTime - responseMargin
	a.Log.Info("stopping", "reason", context.Cause(ctx).Error(), "in_flight", a.booking.InFlight())
	time.Sleep(admissionTime)
	a.admissionClosed.Store(true)
	a.announce()
	a.booking.DrainAfter(0)
	time.Sleep(handoverTime - admissionTime)
	a.Log.Info("stopping", "step", "draining callers")
	stopProxy()
	proxy.Wait()
	a.Log.Info("stopping", "step", "draining calls", "in_flight", a.booking.InFlight())
	for a.booking.InFlight() > 0 && time.Now().Before(drainDeadline) {
		time.Sleep(drainPollInterval)
	}
}

// kill ends the calls that are still in flight near the end of StopGrace.
func (a *Agent) kill() {
	a.Log.Info("cutting calls in flight at planned stop", "reason", "stop_grace elapsed", "cut", a.booking.InFlight())
	a.proxy.Kill()
	a.pool.Kill()
	a.booking.ReleaseCancelled()
}

func (a *Agent) serveMetrics(ctx *fasthttp.RequestCtx) {
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
