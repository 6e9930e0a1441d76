package dispatch

import (
	"os"

	"github.com/yuccaport/yuccaport/src/cut"
)

// closeReason is why a caller's connection was closed.
type closeReason uint8

// The reasons for which a connection is closed; the first that holds counts.
const (
	closeUnknown        closeReason = iota
	closeCaller                     // the caller closed its side, or the connection failed
	closeRequested                  // the caller asked for it, or its protocol version keeps no connections
	closeIdle                       // idle timeout
	closeHeaderTimeout              // a header did not arrive in time
	closeHeaderTooLarge             // a header exceeded its limit
	closeMalformed                  // a request could not be read, or could be read in two ways
	closeBodyUnread                 // a request was answered before its body was read
	closeOverhead                   // chunk sizes or trailers of a body exceeded their limit
	closeStall                      // no progress on a body or an answer for StallTimeout
	closeOverflow                   // more further requests than are held
	closeLimit                      // bound on connections or memory
	closePanic                      // of the handler of a request
	closeTruncated                  // an answer could not be delivered whole
	closeParent                     // the call within which the request was made ended
	closeStop                       // planned stop: idle, or after its last answer
	closeReadAhead                  // planned stop: further requests that had arrived were discarded
	closeGraceEnded                 // planned stop: end of the grace
	closeKilled                     // shortly before the end of stop_grace
	numCloseReasons
)

var closeReasonNames = [numCloseReasons]string{
	closeUnknown: "unknown", closeCaller: "caller", closeRequested: "requested", closeIdle: "idle_timeout", closeHeaderTimeout: "header_timeout",
	closeHeaderTooLarge: "header_too_large", closeMalformed: "malformed", closeBodyUnread: "body_unread", closeOverhead: "body_overhead", closeStall: "stall",
	closeOverflow: "pipeline_overflow", closeLimit: "limit", closePanic: "panic", closeTruncated: "answer_truncated", closeParent: "parent_ended", closeStop: "stop", closeReadAhead: "read_ahead_discarded",
	closeGraceEnded: "grace_ended", closeKilled: "killed",
}

// String returns the name in logs and metrics.
func (r closeReason) String() string { return closeReasonNames[r] }

// closeReasonOf returns why a connection is reset under a request that someone has ended.
func closeReasonOf(by cut.Ender) closeReason {
	switch by {
	case cut.Caller:
		return closeCaller
	case cut.Parent:
		return closeParent
	case cut.ProxyDrain, cut.ProxyGrace:
		return closeGraceEnded
	case cut.KillTimer:
		return closeKilled
	}
	return closeTruncated
}

// noteClose records why the connection will be closed.
func (c *callerConn) noteClose(r closeReason) {
	if c != nil {
		c.closeReason.CompareAndSwap(uint32(closeUnknown), uint32(r))
	}
}

// isClosingFor reports whether the connection will be closed for a reason.
func (c *callerConn) isClosingFor(r closeReason) bool {
	return c != nil && c.closeReason.Load() == uint32(r)
}

// noteReadError records why the connection will be closed after a failed read; c.mu must be held.
func (c *callerConn) noteReadError(isTimeout bool) {
	switch {
	case !isTimeout:
		c.noteClose(closeCaller)
	case !c.busy && c.stopping:
		c.noteClose(closeStop)
	case !c.busy:
		c.noteClose(closeIdle)
	case !c.headerDeadline.IsZero():
		c.noteClose(closeHeaderTimeout)
	default:
		c.noteClose(closeStall)
	}
}

// noteWriteError records why the connection will be closed after a failed write.
func (c *callerConn) noteWriteError(err error) {
	if os.IsTimeout(err) {
		c.noteClose(closeStall)
		return
	}
	c.noteClose(closeCaller)
}

// countClose counts the closed connection.
func (c *callerConn) countClose() {
	c.cuts.countClose(closeReason(c.closeReason.Load()), c.currentProgress().wasAtServer())
}
