package agent

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/rollout"
)

const rolloutPollInterval = 20 * time.Millisecond // between checks whether orders and records are known, at the start

// buildRollout creates the rollout node, if there are keys for rollouts, and connects it with the
// other components.
func (a *Agent) buildRollout() {
	if a.Keys.RolloutPrefix == "" {
		return
	}
	n := &rollout.Node{
		Self: a.id, Service: a.Settings.Service, Members: a.follower.Members, Unlisted: a.follower.Unlisted, Exchanger: a.pool, Store: a.Store, Keys: a.Keys,
		StatusPrefix: a.Rollouts.StatusPrefix, DecodeOrder: a.Rollouts.DecodeOrder, EncodeStatus: a.Rollouts.EncodeStatus,
		InFlight: a.booking.Calls, KnowsItems: a.follower.KnowsItems, OnRouting: a.proxy.SetRouting,
		Log: a.Log.WithName("rollout"), Metrics: a.Metrics,
	}
	a.rollout, a.booking.Rollout = n, n
	a.follower.KeepItem, a.follower.OnItem, a.follower.OnRestoreItem = n.KeepItem, n.HandleItem, n.RestoreItem
}

// knowsRollouts reports whether the orders and records of rollouts are known, before which a backend
// server might run calls that a rollout forbids.
func (a *Agent) knowsRollouts() bool { return a.rollout == nil || a.follower.KnowsItems() }

// awaitRollouts announces the agent's entry as soon as the orders and records of rollouts are known.
func (a *Agent) awaitRollouts(ctx context.Context) error {
	for !a.knowsRollouts() && clock.Sleep(ctx, rolloutPollInterval) {
	}
	a.wakeBackendCheck()
	return nil
}

// setRolloutBackend tells the rollout node of the last heartbeat; the caller must hold a.backendMu.
func (a *Agent) setRolloutBackend() {
	if a.rollout != nil {
		a.rollout.SetBackend(a.backend.Version(), a.backend.ColdStartEnd())
	}
}
