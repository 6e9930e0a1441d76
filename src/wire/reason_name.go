package wire

var reasonNames = map[RefusalReason]string{
	ReasonNone:        "none",
	ReasonQueueFull:   "queue_full",
	ReasonDeadline:    "deadline",
	ReasonLeaving:     "leaving",
	ReasonWrongMember: "wrong_member",
	ReasonNotReady:    "not_ready",
	ReasonConnect:     "connect",
	ReasonShed:        "shed",
	ReasonLinkLost:    "link_lost",
	ReasonLimit:       "limit",
	ReasonCancelled:   "cancelled",
	ReasonTimeout:     "timeout",
	ReasonCut:         "cut",
	ReasonCrashed:     "crashed",
	ReasonProtocol:    "protocol",
	ReasonQuarantined: "quarantined",
	ReasonVersion:     "version",
}

// String returns a reason as log lines, metrics and answers show it.
func (r RefusalReason) String() string { return reasonNames[r] }
