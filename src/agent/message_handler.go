package agent

import (
	"context"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
)

// messageHandler handles the control messages of other agents.
type messageHandler struct{ agent *Agent }

// ServeMessage answers a peer's registry request, quarantine report, rollout report or quota report
// and rejects every other kind of message.
func (m messageHandler) ServeMessage(ctx context.Context, from link.Peer, kind link.MessageKind, payload []byte) ([]byte, error) {
	switch kind {
	case link.KindRegistry:
		return m.agent.follower.ServeMessage(ctx, from, kind, payload)
	case link.KindQuarantine:
		return m.agent.quarantine.ServeMessage(ctx, from, kind, payload)
	case link.KindRollout:
		if m.agent.rollout != nil {
			return m.agent.rollout.ServeMessage(ctx, from, kind, payload)
		}
	case link.KindTenant:
		return m.agent.quota.ServeMessage(ctx, from, kind, payload)
	}
	return nil, problem.New(problem.Protocol, from.Addr.String(), "unknown kind of message", "run the same version on all agents")
}
