package agent

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/registry"
)

const (
	ackWithin  = 800 * time.Millisecond // the backend server waits a second for its acknowledgement
	queueGrace = time.Second            // for which calls that wait may still reach a leaving backend server
	askEvery   = 300 * time.Millisecond // between questions to a backend server that has not been heard
	askTimeout = 500 * time.Millisecond
)

// HandleHeartbeat takes a heartbeat of the backend server.
func (a *Agent) HandleHeartbeat(ctx context.Context, h registry.Heartbeat) (registry.Verdict, error) {
	a.localMu.Lock()
	was, wasBorn, wasLeaving := a.local.Instance(), a.local.StartedAt(), a.local.Leaving()
	v := a.local.ApplyHeartbeat(time.Now(), h)
	if v != registry.VerdictAccepted {
		a.localMu.Unlock()
		a.Log.Info("heartbeat", "verdict", string(v), "instance", h.Instance, "service", h.Service, "sequence", h.Sequence, "born", h.StartedAt.UnixMilli(), "leaving", h.Leaving)
		return v, nil
	}
	leaving := a.local.Leaving()
	fresh := h.Instance != was || !h.StartedAt.Equal(wasBorn)
	if fresh {
		a.cleared = h.StartedAt.After(a.started) // what this agent has seen from its start on has not left unheard
	}
	cleared := a.cleared
	a.localMu.Unlock()
	if fresh || leaving != wasLeaving {
		a.Log.Info("backend server heard", "instance", h.Instance, "before", was, "leaving", leaving, "sequence", h.Sequence, "born", h.StartedAt.UnixMilli(), "slots", h.Slots)
	}
	if leaving {
		return v, a.drain(ctx)
	}
	if !cleared {
		left, err := a.leftUntil(ctx, h.Instance)
		switch {
		case err != nil:
			return v, nil // acknowledged; the next heartbeat asks again
		case !h.StartedAt.After(left):
			return a.HandleLeave(ctx, h.Instance, left)
		}
	}
	a.localMu.Lock()
	a.cleared = true
	a.localMu.Unlock()
	if fresh || !cleared {
		a.booking.Resume()
	}
	a.booking.SetInstance(h.Instance, h.Slots, true)
	a.announce()
	return v, nil
}

// HandleLeave takes the end of an incarnation.
func (a *Agent) HandleLeave(ctx context.Context, instance string, born time.Time) (registry.Verdict, error) {
	a.localMu.Lock()
	v := a.local.ApplyLeave(time.Now(), instance, born)
	a.localMu.Unlock()
	a.Log.Info("backend server leaves", "instance", instance, "verdict", string(v))
	if v != registry.VerdictAccepted {
		return v, nil
	}
	return v, a.drain(ctx)
}

// HandleInvalidHeartbeat notes a heartbeat that cannot be used.
func (a *Agent) HandleInvalidHeartbeat(instance string, err error) {
	a.Log.Info("heartbeat", "verdict", string(registry.VerdictRefused), "instance", instance, "reason", err.Error())
}

// drain stops admission, then writes the drain to the store, so that the acknowledgement binds a restarted agent too.
func (a *Agent) drain(ctx context.Context) error {
	a.booking.DrainAfter(0)
	a.announce()
	a.localMu.Lock()
	instance, until := a.local.Instance(), a.local.Tombstone()
	done := a.drained == instance && !until.After(a.drainedUntil)
	a.localMu.Unlock()
	if done {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ackWithin)
	defer cancel()
	if err := a.announcer.WriteTombstone(ctx, instance, until); err != nil {
		a.Log.Error(err, "drain not acknowledged", "instance", instance)
		return err
	}
	a.localMu.Lock()
	a.drained, a.drainedUntil = instance, until
	a.localMu.Unlock()
	a.Log.Info("drain acknowledged", "instance", instance)
	return nil
}

// leftUntil returns the start until which the incarnations of an instance have left, as an earlier agent has acknowledged.
func (a *Agent) leftUntil(ctx context.Context, instance string) (time.Time, error) {
	if until, ok := a.follower.Tombstone(instance); ok {
		return until, nil
	}
	ctx, cancel := context.WithTimeout(ctx, ackWithin)
	defer cancel()
	until, err := a.announcer.ReadTombstone(ctx, instance)
	if err != nil {
		a.Log.Error(err, "not known whether the backend server has left", "instance", instance)
	}
	return until, err
}

// announce has the entry written when it has changed; an agent that never was ready is of no use to others.
func (a *Agent) announce() {
	a.localMu.Lock()
	defer a.localMu.Unlock()
	m, old := a.memberLocked(), a.announced
	if old.ID == 0 && !m.Ready {
		return
	}
	if m.Ready && old.Ready && !time.Now().Before(a.local.ColdStartEnd()) {
		m.Slots, m.StartedAt = old.Slots, old.StartedAt // answers tell the slots; not worth a call to each agent
	}
	a.announced = m
	a.announcer.Set(m)
}

// watchBackend learns the instance before the first heartbeat, and announces when the backend server goes down or up.
func (a *Agent) watchBackend(ctx context.Context) error {
	t := time.NewTicker(askEvery)
	defer t.Stop()
	for {
		a.askInstance(ctx)
		a.announce()
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		case <-t.C:
		}
	}
}

// askInstance asks the health endpoint while no heartbeat has come.
func (a *Agent) askInstance(ctx context.Context) {
	a.localMu.Lock()
	known := a.local.Instance() != ""
	a.localMu.Unlock()
	if known || a.inForce.Load() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, instance := a.booking.CheckHealth(ctx)
	if state != booking.HealthUp || instance == "" {
		return
	}
	if left, err := a.leftUntil(ctx, instance); err != nil || !left.IsZero() {
		return // a heartbeat tells which incarnation it is
	}
	a.localMu.Lock()
	probed := a.local.ApplyProbe(instance)
	leaving := a.local.Leaving()
	a.localMu.Unlock()
	if probed && !leaving {
		a.Log.Info("backend server found", "instance", instance, "reason", "health endpoint")
		a.booking.SetInstance(instance, 0, true)
	}
}
