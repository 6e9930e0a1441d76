package dispatch

import "time"

// Limits bounds what a caller may send; a zero field takes the proxy's own limit.
type Limits struct {
	HeaderBytes   int           // bytes of a request's header
	BodyBytes     int64         // bytes of a request's body
	HeaderTimeout time.Duration // from a header's first byte to its end
	IdleTimeout   time.Duration // of a connection without a request
}

func (l Limits) withDefaults(stall time.Duration) Limits {
	setDefault(&l.HeaderBytes, maxHeaderSize)
	setDefault(&l.BodyBytes, int64(maxRequestBody))
	setDefault(&l.HeaderTimeout, stall)
	setDefault(&l.IdleTimeout, stall)
	return l
}
