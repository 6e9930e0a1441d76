package link

import (
	"context"
	"errors"
	"io"

	"github.com/yuccaport/yuccaport/src/cut"
)

// LostError is the error of a Read of an answer whose link has ended; it matches io.ErrUnexpectedEOF.
type LostError struct {
	By    cut.Ender
	Cause error
}

// Error returns who ended the link and why.
func (e *LostError) Error() string { return e.By.String() + ": " + e.Cause.Error() }

// Unwrap returns io.ErrUnexpectedEOF, and not the cause: an io.EOF would make the answer look complete.
func (e *LostError) Unwrap() error { return io.ErrUnexpectedEOF }

// linkEnder returns who closed a link for the given reason.
func linkEnder(err error) cut.Ender {
	switch {
	case errors.Is(err, errPoolKilled):
		return cut.KillTimer
	case errors.Is(err, errPoolStopped):
		return cut.LinkGrace
	case errors.Is(err, io.EOF):
		return cut.LinkClosed
	default:
		return cut.LinkLost
	}
}

// EnderOfCall returns who cancelled the context of an inbound call, by its cause.
func EnderOfCall(cause error) cut.Ender {
	switch {
	case errors.Is(cause, errCallCancelled):
		return cut.Caller
	case errors.Is(cause, context.DeadlineExceeded):
		return cut.Timeout
	case errors.Is(cause, context.Canceled):
		return cut.KillTimer // of the pool
	}
	return linkEnder(cause)
}
