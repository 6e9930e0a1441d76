package booking

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/wire"
)

// contentOf returns the hash of a request's content, 0 if it is unknown: a daemon of an older build
// does not send it, and a body has not arrived yet.
func contentOf(h wire.CallHead) uint64 {
	if h.Content != 0 || h.BodyLength != 0 {
		return h.Content
	}
	r := quarantine.Request{Method: h.Method, Host: h.Host, Target: h.URI, Authorization: h.Tenant}
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, fasthttp.HeaderAuthorization) {
			r.Authorization = f.Value
		}
	}
	return r.Content()
}

// reasonForOlderBuild returns the reason that a daemon of an earlier build is told, which does not
// know the newer ones: it must not blame the backend server for a request that is quarantined.
func reasonForOlderBuild(r wire.RefusalReason) wire.RefusalReason {
	switch r {
	case wire.ReasonCrashed, wire.ReasonProtocol:
		return wire.ReasonCut
	case wire.ReasonQuarantined, wire.ReasonVersion:
		return wire.ReasonLimit
	}
	return r
}
