package booking

import (
	"slices"
	"strings"

	"github.com/yuccaport/yuccaport/src/wire"
)

// An answer is attributed to a request by the ID that it bears. Without one, only the order of the
// connection says whose it is: a backend server may write an earlier answer once more, where the next
// one is due. Nothing that such an answer says is believed, least of all that the request has not run.

// isForOtherRequest reports whether the answer carries the ID of another request, as a late or
// duplicate answer does, or none although the backend server echoes IDs and has answered on this
// connection before.
func (x *exchange) isForOtherRequest() bool {
	name := x.s.Headers.RequestID
	if name == "" {
		return false
	}
	id := x.resp.Header.Peek(name)
	if len(id) > 0 {
		return string(id) != x.head.TraceID
	}
	isFirst := x.conn.answers == 0 && x.skippedAnswers == 0
	return !isFirst && x.sendsID() && x.s.echoesIDs(x.instance)
}

// sendsID reports whether the request bears an ID that an answer can echo.
func (x *exchange) sendsID() bool {
	name := x.s.Headers.RequestID
	return slices.ContainsFunc(x.head.Fields, func(f wire.Field) bool { return strings.EqualFold(f.Name, name) && f.Value != "" })
}

// mayBeRepeated reports whether the backend server may write the answer once more without this being
// noticed: it is a refusal without an ID. Its connection is not used again.
func (x *exchange) mayBeRepeated() bool {
	name := x.s.Headers.RequestID
	return name != "" && x.isShed() && x.sendsID() && len(x.resp.Header.Peek(name)) == 0
}

// recordEcho records that an instance echoes IDs, if its answer does.
func (x *exchange) recordEcho() {
	name := x.s.Headers.RequestID
	if name == "" || len(x.resp.Header.Peek(name)) == 0 {
		return
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.echoInstance, x.s.echoKnown = x.instance, true
}

// echoesIDs reports whether an instance has answered with the ID of a request before.
func (s *Server) echoesIDs(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.echoKnown && s.echoInstance == instance
}
