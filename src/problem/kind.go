package problem

import "github.com/zeebo/errs/v2"

// Kind names the class of an error and can be matched with errors.Is.
type Kind = errs.Tag

// The kinds of error, each matched by errors.Is(err, kind).
const (
	// Usage marks a command line that cannot be run as written.
	Usage Kind = "usage"
	// Settings marks a settings file that a process refuses to start with.
	Settings Kind = "settings"
	// Document marks a service document that is refused.
	Document Kind = "document"
	// Conflict marks an edit that lost a race to another edit.
	Conflict Kind = "conflict"
	// Denied marks an edit whose token does not own the service.
	Denied Kind = "denied"
	// NotFound marks a key, service or version that does not exist.
	NotFound Kind = "not found"
	// Unavailable marks a store call that was not carried out.
	Unavailable Kind = "store unavailable"
	// Unsure marks a store write that may or may not have taken effect.
	Unsure Kind = "store unsure"
	// NotRun marks a request that no backend server has begun to run.
	NotRun Kind = "not run"
	// MayHaveRun marks a request whose outcome is unknown.
	MayHaveRun Kind = "may have run"
	// Protocol marks a peer that sent a malformed or oversize frame.
	Protocol Kind = "protocol"
	// Backward marks a configuration version below one already served.
	Backward Kind = "backward version"
	// Broken marks a run in which a promise did not hold.
	Broken Kind = "promise broken"
	// Busy marks a peer or process that asks to be tried again later.
	Busy Kind = "busy"
)
