package registry

import (
	"context"
	"time"
)

const suspendedMin = 500 * time.Millisecond // a shorter pause outlasts no time-out of a peer or of the store

// begin returns the context of the next call, which a suspension ends; after one the store is read afresh.
func (f *Follower) begin(ctx context.Context) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut != nil {
		f.cut()
	}
	ctx, f.cut = context.WithCancel(ctx)
	if f.awake {
		f.awake, f.listed = false, false
	}
	return ctx
}

// resumed tells whether the VM was suspended during the last call.
func (f *Follower) resumed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.awake
}

// resume ends the call under way, whose connection may be dead without a sign.
func (f *Follower) resume(pause time.Duration) {
	f.Log.Info("VM was suspended", "for", pause.String(), "outcome", "the store is read afresh")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awake = true
	if f.cut != nil {
		f.cut()
	}
}
