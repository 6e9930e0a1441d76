package dispatch

import "github.com/yuccaport/yuccaport/src/wire"

// reasonRemedies holds what a caller can do about a refusal.
var reasonRemedies = map[wire.RefusalReason]string{
	wire.ReasonQueueFull:   "repeat the request after retry-after; add backend servers if it goes on",
	wire.ReasonDeadline:    "repeat the request after retry-after, or raise the route's deadline",
	wire.ReasonLeaving:     "repeat the request",
	wire.ReasonWrongMember: "repeat the request",
	wire.ReasonNotReady:    "repeat the request after retry-after; see yuccaport status for the service's members",
	wire.ReasonConnect:     "repeat the request after retry-after; see yuccaport status for the service's members",
	wire.ReasonShed:        "repeat the request after retry-after",
	wire.ReasonLinkLost:    "repeat the request if it did not run",
	wire.ReasonLimit:       "repeat the request after retry-after, or raise the route's max_in_flight",
	wire.ReasonTimeout:     "look up whether the request ran before repeating it, or raise the route's timeout",
	wire.ReasonCut:         "look up whether the request ran before repeating it",
	wire.ReasonCrashed:     "look up whether the request ran before repeating it; see the backend server's own log for its crash",
	wire.ReasonProtocol:    "look up whether the request ran before repeating it; the agent's log says what the backend server sent",
	wire.ReasonVersion:     "repeat the request after retry-after; the service is being moved to another version, see the agents' logs of its rollout",
	wire.ReasonQuarantined: "do not repeat the request unchanged: backend servers crashed while they ran it; its service's operators find the crashes in the agents' logs",
}

// remedy returns what a caller can do about a refusal.
func remedy(r wire.RefusalReason) string {
	if s, ok := reasonRemedies[r]; ok {
		return s
	}
	return "repeat the request"
}
