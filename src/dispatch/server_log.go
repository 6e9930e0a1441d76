package dispatch

import (
	"fmt"

	"github.com/go-logr/logr"
)

// serverLog passes the HTTP server's own lines on as details.
type serverLog struct{ log logr.Logger }

// Printf writes one line.
func (l serverLog) Printf(format string, args ...any) {
	l.log.V(1).Info("caller's connection ended", "reason", fmt.Sprintf(format, args...))
}
