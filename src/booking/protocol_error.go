package booking

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	maxInterimAnswers   = 16
	protocolErrorPeriod = 10 * time.Second // between two log lines on answers that are none
)

var (
	errTooMuchOverhead = newProtocolError("head, chunk sizes or trailers over %d KiB", maxOverhead>>10)
	errHeadTooLong     = newProtocolError("head over %d KiB", bufferSize>>10)
	errInterimAnswers  = newProtocolError("over %d interim answers", maxInterimAnswers)
	errBodyTooLong     = newProtocolError("body of a failure over %d KiB, or one that is not needed over %d KiB", maxBufferedAnswer>>10, maxDiscard>>10)
)

// newProtocolError returns an error of kind problem.Protocol for an answer that exceeds a bound.
func newProtocolError(format string, args ...any) error {
	return problem.New(problem.Protocol, "answer", fmt.Sprintf(format, args...), "see the backend server's own log")
}

// isProtocolError reports whether an exchange failed because of what the backend server sent,
// rather than because it sent nothing more.
func isProtocolError(err error) bool { return !isClosedByPeer(err) && !errors.Is(err, errTimeout) }

// logProtocolError logs that the backend server sends what is no answer, at most once per
// protocolErrorPeriod.
func (s *Server) logProtocolError(x *exchange, err error) {
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		err = errHeadTooLong
	}
	now := s.Now()
	s.mu.Lock()
	s.protocolErrors++
	n := s.protocolErrors
	due := now.Sub(s.protocolErrorLogged) >= protocolErrorPeriod
	if due {
		s.protocolErrorLogged, s.protocolErrors = now, 0
	}
	s.mu.Unlock()
	if due {
		s.Log.Info("backend server sent no answer in the protocol", "reason", err.Error(), "instance", x.instance, "request_id", x.head.TraceID, "since_last_line", n)
	}
}
