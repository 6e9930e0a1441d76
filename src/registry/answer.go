package registry

import (
	"context"
	"time"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// ServeMessage answers a peer's question.
func (f *Follower) ServeMessage(ctx context.Context, _ link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	f.init()
	var req wire.RegistryRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "registry request", "not msgpack", "run the same version on both daemons")
	}
	reply := f.awaitNews(ctx, req)
	if len(reply.Value) > 0 {
		reply.Value = f.packed(reply.Config, reply.Value)
	}
	return reply.MarshalMsg(nil)
}

// awaitNews waits until there is something that the asker lacks, or its wait is over.
func (f *Follower) awaitNews(ctx context.Context, req wire.RegistryRequest) wire.RegistryReply {
	over := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer over.Stop()
	for {
		f.mu.Lock()
		ready, news := f.core.HasUpdates(req), f.news
		f.mu.Unlock()
		if ready || req.WaitMS <= 0 {
			return f.reply(req)
		}
		select {
		case <-news:
		case <-over.C:
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

// packed compresses a configuration once for all who ask for it.
func (f *Follower) packed(revision uint64, value []byte) []byte {
	f.packMu.Lock()
	defer f.packMu.Unlock()
	if f.packRevision != revision {
		f.packRevision, f.packValue = revision, pack.Pack(value)
	}
	return f.packValue
}
