package agent

import (
	"context"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
)

// messages serves the control messages of other agents.
type messages struct{ a *Agent }

// ServeMessage answers what a peer asks of the registry.
func (m messages) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	if kind != link.KindRegistry {
		return nil, problem.New(problem.Protocol, from.Addr.String(), "unknown kind of message", "run the same version on all agents")
	}
	return m.a.follower.ServeMessage(ctx, from, kind, payload)
}
