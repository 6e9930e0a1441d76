package dispatch

import (
	"fmt"

	"github.com/go-logr/logr"
)

// httpServerLog logs the messages of the HTTP library, at verbosity 1.
type httpServerLog struct{ log logr.Logger }

// Printf logs one message.
func (l httpServerLog) Printf(format string, args ...any) {
	l.log.V(1).Info("HTTP server message", "reason", fmt.Sprintf(format, args...))
}
