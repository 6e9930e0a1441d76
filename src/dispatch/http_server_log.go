package dispatch

import (
	"fmt"
	"strings"

	"github.com/go-logr/logr"
)

// httpServerLog logs the messages of the HTTP library, at verbosity 1.
type httpServerLog struct{ log logr.Logger }

// Printf logs one message. Errors are shortened by readErrorText.
func (l httpServerLog) Printf(format string, args ...any) {
	for i, arg := range args {
		if err, ok := arg.(error); ok {
			args[i] = readErrorText(err)
		}
	}
	l.log.V(1).Info("HTTP server message", "reason", fmt.Sprintf(format, args...))
}

// readErrorText returns the text of an error of the HTTP library up to the first quotation: the
// library quotes what a caller has sent, which may contain a key.
func readErrorText(err error) string {
	text, _, _ := strings.Cut(err.Error(), `"`)
	return strings.TrimSpace(text)
}
