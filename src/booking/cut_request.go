package booking

import (
	"net/url"
	"time"
)

// cutRequest is a request whose connection the backend server has closed before its answer was
// complete.
type cutRequest struct {
	id       string
	target   string // method, host and path, for logs
	instance string
	content  uint64
	cutAt    time.Time
}

func newCutRequest(x *exchange) cutRequest {
	return cutRequest{
		id: x.head.TraceID, target: x.head.Method + " " + x.host() + pathOf(x.head.URI),
		instance: x.instance, content: x.content, cutAt: x.s.Now(),
	}
}

// pathOf returns the path of a request target, without its query.
func pathOf(target string) string {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return ""
	}
	return u.EscapedPath()
}
