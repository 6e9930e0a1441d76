package registry

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// ServeMessage answers a message of kind link.KindRegistry: payload is a wire.RegistryRequest, the result a wire.RegistryReply, both in msgpack. It waits up to the request's WaitMS for an update. The error is of kind problem.Protocol if payload is malformed.
func (f *Follower) ServeMessage(ctx context.Context, from link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	f.init()
	var req wire.RegistryRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "registry request", "not msgpack", "run the same version on both daemons")
	}
	if req.Parts {
		f.noteNewBuild(from.ID)
		f.noteHolder(from.ID, req.Digest)
	}
	f.applyAnnounced(from, req)
	reply := f.awaitUpdates(ctx, from.ID, req)
	if len(reply.Value) > 0 {
		f.encodeConfig(from.ID, req, &reply)
	}
	return reply.MarshalMsg(nil)
}

// awaitUpdates replies as soon as there is an update for the request, a watch that this agent's
// knowledge depends on has ended since it arrived, or the wait that it allows has passed.
func (f *Follower) awaitUpdates(ctx context.Context, asker uint64, req wire.RegistryRequest) wire.RegistryReply {
	timeout := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	f.addWaiting(1)
	defer f.addWaiting(-1)
	arrivedAt := clock.NowWithSuspension()
	for {
		f.mu.Lock()
		hasUpdates, updated := f.hasUpdates(asker, req) || !req.Search && f.asOf.After(arrivedAt), f.updated
		f.mu.Unlock()
		if hasUpdates || req.WaitMS <= 0 {
			return f.reply(req, arrivedAt)
		}
		select {
		case <-updated:
		case <-timeout.C:
			return f.reply(req, arrivedAt)
		case <-ctx.Done():
			return f.reply(req, arrivedAt)
		}
	}
}

// hasUpdates reports whether a request can be answered now; the caller must hold f.mu.
func (f *Follower) hasUpdates(asker uint64, req wire.RegistryRequest) bool {
	if req.Search {
		source := f.sourceFor(req)
		return f.core.hasNewerConfig(req) || source != 0 && source != asker
	}
	return f.core.HasUpdates(req)
}

func (f *Follower) reply(req wire.RegistryRequest, arrivedAt time.Time) wire.RegistryReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.core.Reply(req)
	r.Source = f.sourceFor(req)
	f.setAge(&r, arrivedAt)
	return r
}

// sourceFor returns the source that a reply names, 0 to a search if this agent reads the store but
// serves many members already; the caller must hold f.mu.
func (f *Follower) sourceFor(req wire.RegistryRequest) uint64 {
	if req.Search && f.sourceID == f.ID && f.waiting > maxWaiting {
		return 0
	}
	return f.sourceID
}

func (f *Follower) addWaiting(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting += n
}

// setSource records the member that reads the store and through which this agent follows it.
func (f *Follower) setSource(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sourceID != id {
		f.sourceID = id
		f.notifyLocked()
	}
}

// notifyLocked wakes the requests that wait for an update; the caller must hold f.mu.
func (f *Follower) notifyLocked() {
	close(f.updated)
	f.updated = make(chan struct{})
}
