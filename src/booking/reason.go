package booking

import "github.com/yuccaport/yuccaport/src/wire"

var reasonNames = map[wire.RefusalReason]string{
	wire.ReasonQueueFull:   "queue_full",
	wire.ReasonDeadline:    "deadline",
	wire.ReasonLeaving:     "leaving",
	wire.ReasonWrongMember: "wrong_member",
	wire.ReasonNotReady:    "not_ready",
	wire.ReasonConnect:     "connect",
	wire.ReasonShed:        "shed",
	wire.ReasonLinkLost:    "link_lost",
	wire.ReasonLimit:       "limit",
	wire.ReasonCancelled:   "cancelled",
	wire.ReasonTimeout:     "timeout",
	wire.ReasonCut:         "cut",
}

// reasonName returns a reason as it is written in logs and metrics.
func reasonName(r wire.RefusalReason) string { return reasonNames[r] }
