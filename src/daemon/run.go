package daemon

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/drain"
)

const (
	readinessPollInterval = 100 * time.Millisecond // time between checks whether this daemon's readiness has changed
	inFlightPollInterval  = 20 * time.Millisecond  // time between checks of the number of calls in flight
	leaveTimeout          = 500 * time.Millisecond // longest wait until the first announcements of leaving are sent
	abortMargin           = time.Second            // added to stop_grace in waitForCalls, so that aborted calls can end
)

// Run serves until ctx is done or a component fails, then stops gracefully.
//
// To stop, it announces its leave to the roster, hands over after drain_news, starts the drain and lets the calls in flight finish; those still in flight shortly before stop_grace ends are answered, then aborted: see drain.Plan. After Kill it neither announces its leave nor waits for calls. It returns nil if ctx was cancelled, otherwise the cause: the error of the component that failed, or the cause with which ctx ended. Run must be called at most once.
func (d *Daemon) Run(ctx context.Context) error {
	d.Build()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	// The groups are stopped in this order. The admin server runs in the last one.
	updateTasks, callerTasks, linkTasks, rosterTasks := newTaskGroup(ctx, fail), newTaskGroup(ctx, fail), newTaskGroup(ctx, fail), newTaskGroup(ctx, fail)
	rosterTasks.start(d.rosterNode.Run)
	if d.AdminListener != nil {
		rosterTasks.start(d.serveAdmin)
	}
	linkTasks.start(d.pool.Run)
	linkTasks.start(d.booking.Run)
	linkTasks.start(d.quarantine.Run)
	callerTasks.start(d.proxy.Run)
	updateTasks.start(d.distributor.Run)
	updateTasks.start(d.publishReadiness)

	<-ctx.Done()
	plan := drain.NewPlan(clock.NowWithSuspension(), d.Settings.StopGrace.Std(), d.Settings.DrainNews.Std())
	abortCtx, cancelAbort := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelAbort()
	go func() {
		if plan.Await(abortCtx, plan.Kill) == nil {
			d.abortCalls()
		}
	}()
	if !d.killed.Load() {
		d.proxy.Drain(plan)
		d.leave(rosterTasks.ctx)
	}
	updateTasks.stop()
	callerTasks.stop()
	if !d.killed.Load() {
		d.waitForCalls()
	}
	linkTasks.stop()
	_ = d.deposits.Close()
	rosterTasks.stop()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// leave calls announceLeave, unless Drain has been called before.
func (d *Daemon) leave(ctx context.Context) {
	if d.leaving.Swap(true) {
		return
	}
	d.announceLeave(ctx)
}

// announceLeave announces to the roster that this daemon is leaving, waits for drain_news so that the announcement can spread, and then starts the drain of the backend server, which refuses new calls once drain_grace has ended.
func (d *Daemon) announceLeave(ctx context.Context) {
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	d.rosterNode.Leave(leaveCtx)
	time.Sleep(d.Settings.DrainNews.Std())
	d.booking.Drain()
}

// waitForCalls waits until no call is in flight at the backend server, at most stop_grace plus abortMargin from now. abortCalls normally ends the wait sooner.
func (d *Daemon) waitForCalls() {
	deadline := time.Now().Add(d.Settings.StopGrace.Std() + abortMargin)
	for d.booking.MayRun() && time.Now().Before(deadline) {
		time.Sleep(inFlightPollInterval)
	}
}

// abortCalls aborts the calls that are still in flight when stop_grace has ended.
func (d *Daemon) abortCalls() {
	d.Log.Info("calls cut at the planned stop", "reason", "stop_grace has ended", "cut", d.booking.InFlight())
	d.proxy.Kill()
	d.pool.Kill()
	d.booking.ReleaseCancelled()
}

// Drain takes the backend server out of service while the daemon keeps running; it cannot be undone. It blocks for drain_news plus up to leaveTimeout and returns once the drain has started. If the daemon is already leaving, it returns at once.
func (d *Daemon) Drain() {
	if d.leaving.Swap(true) {
		return
	}
	d.Log.Info("draining", "reason", "asked by the operator")
	d.announceLeave(context.Background())
}

// Kill aborts the calls in flight and closes the probe socket, the links and the callers' connections at once, as a crash would. Cancel the context of Run afterwards, so that Run returns.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	_ = d.ProbeConn.Close()
	d.proxy.Kill()
	d.pool.Kill()
	d.booking.ReleaseCancelled()
}

// publishReadiness updates this daemon's readiness in the roster until ctx is done.
func (d *Daemon) publishReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	ready := false
	for {
		if current := d.Ready(); current != ready {
			ready = current
			d.rosterNode.SetReady(current)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Ready reports whether a configuration is in force, the backend server is healthy and the daemon is not leaving.
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
