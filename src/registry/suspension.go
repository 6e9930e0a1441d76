package registry

import (
	"context"
	"time"
)

const minSuspension = 500 * time.Millisecond // shorter suspensions are ignored: they outlast no timeout of a peer or of the store

// beginCall returns the context of the next call, which handleSuspension cancels. After a suspension the store is listed again.
func (f *Follower) beginCall(ctx context.Context) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelCall != nil {
		f.cancelCall()
	}
	ctx, f.cancelCall = context.WithCancel(ctx)
	if f.suspended {
		f.suspended, f.listed, f.substitute = false, false, substitute{}
	}
	return ctx
}

// wasSuspended reports whether the VM was suspended since the last call began.
func (f *Follower) wasSuspended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspended
}

// handleSuspension cancels the call in flight, whose connection may be dead without an error.
func (f *Follower) handleSuspension(suspension time.Duration) {
	f.Log.Info("VM was suspended", "for", suspension.String(), "outcome", "listing the store again")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended = true
	if f.cancelCall != nil {
		f.cancelCall()
	}
}
