package registry

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// ServeMessage answers a message of kind link.KindRegistry: payload is a wire.RegistryRequest, the result a wire.RegistryReply, both in msgpack. It waits up to the request's WaitMS for an update. The error is of kind problem.Protocol if payload is malformed.
func (f *Follower) ServeMessage(ctx context.Context, _ link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	f.init()
	var req wire.RegistryRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "registry request", "not msgpack", "run the same version on both daemons")
	}
	reply := f.awaitUpdates(ctx, req)
	if len(reply.Value) > 0 {
		reply.Value = f.compressConfig(reply.Config, reply.Value)
	}
	return reply.MarshalMsg(nil)
}

// awaitUpdates replies as soon as there is an update for the request, or when the wait that it allows has passed.
func (f *Follower) awaitUpdates(ctx context.Context, req wire.RegistryRequest) wire.RegistryReply {
	timeout := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		f.mu.Lock()
		hasUpdates, updated := f.core.HasUpdates(req), f.updated
		f.mu.Unlock()
		if hasUpdates || req.WaitMS <= 0 {
			return f.reply(req)
		}
		select {
		case <-updated:
		case <-timeout.C:
			return f.reply(req)
		case <-ctx.Done():
			return f.reply(req)
		}
	}
}

func (f *Follower) reply(req wire.RegistryRequest) wire.RegistryReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Reply(req)
}

// compressConfig returns the compressed configuration, which is cached for all peers until its revision changes.
func (f *Follower) compressConfig(revision uint64, value []byte) []byte {
	f.compressMu.Lock()
	defer f.compressMu.Unlock()
	if f.compressedRevision != revision {
		f.compressedRevision, f.compressedConfig = revision, pack.Pack(value)
	}
	return f.compressedConfig
}
