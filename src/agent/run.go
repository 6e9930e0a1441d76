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
	handover   = 2200 * time.Millisecond // two questions for readiness, after which no client is sent here
	lastMoment = 600 * time.Millisecond  // before the kill, in which the last answers are written and travel
	serveOn    = 1900 * time.Millisecond // for which a stopping agent still admits calls to its backend server
	linkGrace  = 200 * time.Millisecond  // for peers to close their links once no call is left; dead ones never do
	drainPoll  = 20 * time.Millisecond
)

// Run serves until ctx is over, then ends in order within the settings' StopGrace.
func (a *Agent) Run(ctx context.Context) error {
	a.Build()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	base := context.WithoutCancel(ctx)
	callersCtx, stopCallers := context.WithCancel(base)
	linksCtx, stopLinks := context.WithCancel(base)
	defer stopCallers()
	defer stopLinks()
	var callers, links sync.WaitGroup
	start := func(wg *sync.WaitGroup, ctx context.Context, run func(context.Context) error) {
		wg.Go(func() {
			if err := run(ctx); err != nil {
				fail(err)
			}
		})
	}
	start(&links, linksCtx, a.pool.Run)
	start(&links, linksCtx, a.booking.Run)
	start(&links, linksCtx, a.follower.Run)
	start(&links, linksCtx, a.announcer.Run)
	start(&links, linksCtx, a.watchBackend)
	start(&links, linksCtx, a.watchSettings)
	start(&links, linksCtx, func(ctx context.Context) error { return serve(ctx, a.ReadyListener, a.ReadyHandler) })
	start(&links, linksCtx, func(ctx context.Context) error { return serve(ctx, a.HeartbeatListener, a.HeartbeatHandler) })
	if a.MetricsListener != nil {
		start(&links, linksCtx, func(ctx context.Context) error { return serve(ctx, a.MetricsListener, a.serveMetrics) })
	}
	start(&callers, callersCtx, a.proxy.Run)

	<-ctx.Done()
	a.stop(ctx, stopCallers, &callers)
	a.Log.Info("stopping", "step", "links end")
	stopLinks()
	links.Wait()
	a.stopCut()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// stop hands the clients over, then ends the requests in flight.
func (a *Agent) stop(ctx context.Context, stopCallers func(), callers *sync.WaitGroup) {
	end := time.Now().Add(a.Settings.StopGrace.Std() - lastMoment)
	cut := time.AfterFunc(time.Until(end)+lastMoment/2, a.cut)
	a.stopCut = cut.Stop
	a.leaving.Store(true)
	a.pool.Grace = linkGrace
	a.proxy.Grace = a.Settings.StopGrace.Std() - handover - lastMoment
	a.Log.Info("stopping", "reason", context.Cause(ctx).Error(), "in_flight", a.booking.InFlight())
	time.Sleep(serveOn)
	a.closed.Store(true)
	a.announce()
	a.booking.DrainAfter(0)
	time.Sleep(handover - serveOn)
	a.Log.Info("stopping", "step", "callers end")
	stopCallers()
	callers.Wait()
	a.Log.Info("stopping", "step", "calls end", "in_flight", a.booking.InFlight())
	for a.booking.InFlight() > 0 && time.Now().Before(end) {
		time.Sleep(drainPoll)
	}
}

// cut ends what has outlasted the grace.
func (a *Agent) cut() {
	a.Log.Info("calls cut at the planned stop", "reason", "stop_grace is over", "cut", a.booking.InFlight())
	a.proxy.Kill()
	a.pool.Kill()
	a.booking.ReleaseCancelled()
}

func (a *Agent) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	a.Metrics.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// serve answers HTTP on a listener until ctx is over.
func serve(ctx context.Context, l net.Listener, h fasthttp.RequestHandler) error {
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
