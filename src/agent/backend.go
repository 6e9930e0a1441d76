package agent

import (
	"cmp"
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/registry"
)

const (
	tombstoneTimeout     = 800 * time.Millisecond // for each read or write of a tombstone; the backend server waits 1 s for the acknowledgement of a drain
	defaultDrainTime     = 2 * time.Second
	backendCheckInterval = 300 * time.Millisecond // between checks whether the member entry has changed, and between probes while the instance ID is unknown
	probeTimeout         = 500 * time.Millisecond // for one probe, including the read of the tombstone
)

// HandleHeartbeat applies a heartbeat of the backend server and returns the verdict on it. A heartbeat of a leaving incarnation drains the backend server. One of an incarnation that the store's tombstone covers is handled as a leave, whose verdict is returned. If the tombstone cannot be read, the heartbeat is accepted but has no effect on admission; the next one reads the tombstone again. If the error is not nil, the tombstone of a drain could not be written, and the heartbeat must not be acknowledged, whatever the verdict.
func (a *Agent) HandleHeartbeat(ctx context.Context, h registry.Heartbeat) (registry.Verdict, error) {
	a.backendMu.Lock()
	oldInstance, oldStartedAt, wasLeaving := a.backend.Instance(), a.backend.StartedAt(), a.backend.Leaving()
	verdict := a.backend.ApplyHeartbeat(time.Now(), h)
	if verdict != registry.VerdictAccepted {
		a.backendMu.Unlock()
		a.Log.Info("heartbeat not accepted", "verdict", string(verdict), "instance", h.Instance, "service", h.Service, "sequence", h.Sequence, "born", h.StartedAt.UnixMilli(), "leaving", h.Leaving)
		return verdict, nil
	}
	a.setRolloutBackend()
	leaving := a.backend.Leaving()
	newIncarnation := h.Instance != oldInstance || !h.StartedAt.Equal(oldStartedAt)
	if newIncarnation {
		a.wakeBackendCheck()
		a.tombstoneRuledOut = h.StartedAt.After(a.agentStartedAt) // an incarnation that started after this agent cannot have a tombstone written by an earlier agent
	}
	ruledOut := a.tombstoneRuledOut
	a.backendMu.Unlock()
	if newIncarnation || leaving != wasLeaving {
		a.Log.Info("backend server state changed", "instance", h.Instance, "before", oldInstance, "leaving", leaving, "sequence", h.Sequence, "born", h.StartedAt.UnixMilli(), "slots", h.Slots)
	}
	if leaving {
		return verdict, a.drain(ctx)
	}
	if !ruledOut {
		lastDrainedStart, err := a.readTombstone(ctx, h.Instance)
		switch {
		case err != nil:
			return verdict, nil // acknowledged all the same
		case !h.StartedAt.After(lastDrainedStart):
			return a.HandleLeave(ctx, h.Instance, lastDrainedStart)
		}
	}
	a.backendMu.Lock()
	a.tombstoneRuledOut = true
	a.backendMu.Unlock()
	if newIncarnation || !ruledOut {
		a.booking.Resume()
	}
	a.booking.SetInstance(h.Instance, h.Slots, true)
	a.announce()
	return verdict, nil
}

// HandleLeave records that all incarnations of the instance that started at or before startedAt are leaving, and drains the backend server unless another instance or a later incarnation is current. It returns the verdict on the leave. A zero startedAt stands for the current time. If the error is not nil, the tombstone could not be written, and the leave must not be acknowledged, whatever the verdict.
func (a *Agent) HandleLeave(ctx context.Context, instance string, startedAt time.Time) (registry.Verdict, error) {
	a.backendMu.Lock()
	verdict := a.backend.ApplyLeave(time.Now(), instance, startedAt)
	a.backendMu.Unlock()
	a.Log.Info("leave received", "instance", instance, "verdict", string(verdict))
	if verdict != registry.VerdictAccepted {
		return verdict, nil
	}
	return verdict, a.drain(ctx)
}

// handleLeavingAnswer drains an instance of the backend server whose answers say that it is
// leaving, before any heartbeat says so.
func (a *Agent) handleLeavingAnswer(instance string) {
	a.backendMu.Lock()
	startedAt := a.backend.StartedAt()
	isCurrent := a.backend.Instance() == instance
	a.backendMu.Unlock()
	if isCurrent {
		_, _ = a.HandleLeave(context.Background(), instance, startedAt) // a tombstone that is not written is logged, and written with a later heartbeat
	}
}

// HandleInvalidHeartbeat logs a heartbeat that is malformed or incomplete; err says why.
func (a *Agent) HandleInvalidHeartbeat(instance string, err error) {
	a.Log.Info("invalid heartbeat refused", "verdict", string(registry.VerdictRefused), "instance", instance, "reason", err.Error())
}

// drain writes a tombstone to the store, so that a restarted agent honors the acknowledged drain,
// and makes booking refuse new calls, and those that would reach the backend server too late.
//
// Until the tombstone is written, nothing is acknowledged and the backend server goes on serving,
// so it still gets calls: while the store is down, it may be one of the last of its service. The
// calls that it runs when it ends all the same are cut.
func (a *Agent) drain(ctx context.Context) error {
	a.booking.ExpectLeave()
	a.announce()
	a.backendMu.Lock()
	instance, latestStart := a.backend.Instance(), a.backend.Tombstone()
	written := a.tombstoneInstance == instance && !latestStart.After(a.tombstoneStart)
	a.backendMu.Unlock()
	if written {
		a.booking.LeaveWithin(a.drainTime())
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tombstoneTimeout)
	defer cancel()
	if err := a.announcer.WriteTombstone(ctx, instance, latestStart); err != nil {
		a.Log.Error(err, "tombstone not written; drain not acknowledged", "instance", instance)
		return err
	}
	a.backendMu.Lock()
	a.tombstoneInstance, a.tombstoneStart = instance, latestStart
	a.backendMu.Unlock()
	a.booking.LeaveWithin(a.drainTime()) // the acknowledgement follows, so that its bound ends later
	a.Log.Info("tombstone written", "instance", instance)
	return nil
}

// drainTime returns the time from the acknowledgement of a leave in which requests may still reach
// the backend server.
func (a *Agent) drainTime() time.Duration {
	return cmp.Or(a.Settings.Backend.DrainTime.Std(), defaultDrainTime)
}

// readTombstone returns the latest start time that the instance's tombstone covers, zero if there
// is no tombstone. Incarnations that started at or before this time have announced that they are
// leaving. The follower knows it once it has listed the store and asked a peer; otherwise the store
// is read.
func (a *Agent) readTombstone(ctx context.Context, instance string) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, tombstoneTimeout)
	defer cancel()
	awaitCtx, cancelAwait := context.WithTimeout(ctx, tombstoneTimeout/2)
	defer cancelAwait()
	if latestStart, ok := a.follower.AwaitTombstone(awaitCtx, instance); ok {
		return latestStart, nil
	}
	latestStart, err := a.announcer.ReadTombstone(ctx, instance)
	if err != nil {
		a.Log.Error(err, "cannot read the tombstone", "instance", instance)
	}
	return latestStart, err
}

// announce passes the current member entry to the announcer. The entry is not announced before its Ready is set for the first time, that is, before the instance ID is known and the backend server is healthy: until then the agent is of no use to others.
func (a *Agent) announce() {
	a.backendMu.Lock()
	defer a.backendMu.Unlock()
	m, old := a.memberLocked(), a.announcedEntry
	if old.ID == 0 && !m.Ready {
		return
	}
	if m.Ready && old.Ready && !time.Now().Before(a.backend.ColdStartEnd()) {
		m.Slots, m.StartedAt = old.Slots, old.StartedAt // after the cold start a change of these alone is not worth an update to every agent: replies to calls carry the current slots, and peers use the start time only of members that are new to them
	}
	a.announcedEntry = m
	a.announcer.SetEntry(m)
}

// watchBackend periodically probes for the instance ID while it is unknown and a configuration is in force, and announces the current member entry, so that changes in the backend server's health reach other agents.
func (a *Agent) watchBackend(ctx context.Context) error {
	t := time.NewTicker(backendCheckInterval)
	defer t.Stop()
	for {
		a.probeInstance(ctx)
		a.announce()
		select {
		case <-ctx.Done():
			return nil
		case <-a.backendCheck:
		case <-t.C:
		}
	}
}

// wakeBackendCheck makes watchBackend check at once.
func (a *Agent) wakeBackendCheck() {
	select {
	case a.backendCheck <- struct{}{}:
	default:
	}
}

// probeInstance queries the health endpoint while a configuration, which holds the health path, is
// in force: for the instance ID while none is known, and until the first answer of a backend server
// that is older than this agent, which may have named a limit to the agent before it.
func (a *Agent) probeInstance(ctx context.Context) {
	a.backendMu.Lock()
	known, olderThanAgent := a.backend.Instance(), !a.backend.StartedAt().After(a.agentStartedAt)
	a.backendMu.Unlock()
	if a.serving.Load() == nil || known != "" && (!olderThanAgent || a.booking.HasAnswered(known)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, instance := a.booking.CheckHealth(ctx)
	if known != "" {
		return // booking has recorded what the answer says
	}
	if state != booking.HealthUp || instance == "" {
		return
	}
	if latestStart, err := a.readTombstone(ctx, instance); err != nil || !latestStart.IsZero() {
		return // only a heartbeat shows whether this is a later incarnation
	}
	a.backendMu.Lock()
	changed := a.backend.ApplyHealthCheck(instance)
	leaving := a.backend.Leaving()
	a.backendMu.Unlock()
	if changed && !leaving {
		a.Log.Info("backend server found by probe", "instance", instance, "reason", "health endpoint")
		a.booking.SetInstance(instance, 0, true)
	}
}
