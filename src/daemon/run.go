package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	readyPeriod = 100 * time.Millisecond // between checks of the backend server beside the daemon
	drainPoll   = 20 * time.Millisecond  // between looks at the requests in flight
	newsTimeout = 500 * time.Millisecond // longest wait for the news of leaving to be sent
	cutMargin   = time.Second            // time for calls that have been cut to end
)

// Run serves until ctx is over, then stops as planned: the news first, new work refused, requests in flight finished.
func (d *Daemon) Run(ctx context.Context) error {
	d.Build()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	work, callers, links, members := newStage(ctx, fail), newStage(ctx, fail), newStage(ctx, fail), newStage(ctx, fail)
	members.start(d.node.Run)
	if d.AdminListener != nil {
		members.start(d.serveAdmin)
	}
	links.start(d.pool.Run)
	links.start(d.booking.Run)
	callers.start(d.proxy.Run)
	work.start(d.distributor.Run)
	work.start(d.watchBackend)

	<-ctx.Done()
	cut := time.AfterFunc(d.Settings.StopGrace.Std(), d.cutCalls)
	defer cut.Stop()
	if !d.killed.Load() {
		d.leave(members.ctx)
	}
	work.stop()
	callers.stop()
	if !d.killed.Load() {
		d.awaitCalls()
	}
	links.stop()
	_ = d.deposits.Close()
	members.stop()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// leave tells the others, and refuses new work once the news has had time to travel.
func (d *Daemon) leave(ctx context.Context) {
	if d.leaving.Swap(true) {
		return
	}
	d.announce(ctx)
}

// announce spreads the news of leaving and then refuses new work.
func (d *Daemon) announce(ctx context.Context) {
	news, cancel := context.WithTimeout(context.WithoutCancel(ctx), newsTimeout)
	defer cancel()
	d.node.Leave(news)
	time.Sleep(d.Settings.DrainNews.Std())
	d.booking.Drain()
}

// awaitCalls waits until no call is in flight at the backend server, a little longer than until they are cut.
func (d *Daemon) awaitCalls() {
	end := time.Now().Add(d.Settings.StopGrace.Std() + cutMargin)
	for d.booking.InFlight() > 0 && time.Now().Before(end) {
		time.Sleep(drainPoll)
	}
}

// cutCalls ends what is still in flight when the grace of a planned stop is over.
func (d *Daemon) cutCalls() {
	d.Log.Info("calls cut at the planned stop", "reason", "stop_grace is over", "cut", d.booking.InFlight())
	d.proxy.Kill()
	d.pool.Kill()
	d.booking.ReleaseCancelled()
}

// Drain takes the backend server out of service while the daemon goes on.
func (d *Daemon) Drain() {
	if d.leaving.Swap(true) {
		return
	}
	d.Log.Info("draining", "reason", "asked by the operator")
	d.announce(context.Background())
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	_ = d.ProbeConn.Close()
	d.proxy.Kill()
	d.pool.Kill()
	d.booking.ReleaseCancelled()
}

// watchBackend tells the roster whether this daemon can take calls.
func (d *Daemon) watchBackend(ctx context.Context) error {
	t := time.NewTicker(readyPeriod)
	defer t.Stop()
	ready := false
	for {
		if now := d.Ready(); now != ready {
			ready = now
			d.node.SetReady(now)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Ready tells whether the daemon holds a configuration and its backend server takes work.
func (d *Daemon) Ready() bool {
	return d.ActiveState() != nil && d.booking.Healthy() && !d.leaving.Load()
}

func addrPort(a net.Addr) netip.AddrPort {
	switch a := a.(type) {
	case *net.TCPAddr:
		return a.AddrPort()
	case *net.UDPAddr:
		return a.AddrPort()
	}
	return netip.AddrPort{}
}
