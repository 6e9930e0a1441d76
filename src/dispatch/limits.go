package dispatch

import "time"

// Limits bounds what a caller may send; a zero field takes the proxy's default.
type Limits struct {
	HeaderBytes   int           // of a request's header
	BodyBytes     int64         // of a request's body, if its length is stated; chunked bodies are not limited
	HeaderTimeout time.Duration // from a header's first byte to its end; by default Proxy.StallTimeout
	IdleTimeout   time.Duration // of a connection without a request; by default Proxy.StallTimeout
}

func (l Limits) withDefaults(stallTimeout time.Duration) Limits {
	setDefault(&l.HeaderBytes, defaultHeaderBytes)
	setDefault(&l.BodyBytes, int64(defaultBodyBytes))
	setDefault(&l.HeaderTimeout, stallTimeout)
	setDefault(&l.IdleTimeout, stallTimeout)
	return l
}
