package dispatch

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	reservedPrefix    = "Yuccaport-"
	parentField       = "Yuccaport-Parent"
	outcomeField      = "Yuccaport-Outcome"
	outcomeNotRun     = "not-run"
	outcomeMayHaveRun = "may-have-run"
)

// unforwardedFields are the header fields that are not passed on: hop-by-hop fields, Expect, and Host and Content-Length, which wire.CallHead and wire.ReplyHead carry, as far as needed, in fields of their own.
var unforwardedFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// requestFields returns the caller's header fields that are passed on: all except unforwarded and
// reserved fields, fields listed in Connection, and fields that the daemons set. With hasTenants,
// which reports that the configuration holds tenants, the caller's key and the name of the tenant
// are not passed on either.
func (p *Proxy) requestFields(h *fasthttp.RequestHeader, hasTenants bool) []wire.Field {
	options := connectionOptions(string(h.Peek("Connection")))
	out := make([]wire.Field, 0, 8)
	for k, v := range h.All() {
		name := string(k)
		if unforwardedFields[name] || options[name] || isReservedField(name) || p.Headers.Replaces(name) {
			continue
		}
		if hasTenants && (strings.EqualFold(name, fasthttp.HeaderAuthorization) || p.Headers.IsTenant(name)) {
			continue
		}
		out = append(out, wire.Field{Name: name, Value: string(v)})
	}
	return out
}

func isReservedField(name string) bool {
	return len(name) >= len(reservedPrefix) && strings.EqualFold(name[:len(reservedPrefix)], reservedPrefix)
}

// connectionOptions returns the names of the header fields that a Connection field lists.
func connectionOptions(v string) map[string]bool {
	if v == "" || strings.EqualFold(v, "close") || strings.EqualFold(v, "keep-alive") {
		return nil
	}
	out := map[string]bool{}
	for _, n := range strings.Split(v, ",") {
		b := []byte(strings.TrimSpace(n))
		out[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, b))] = true
	}
	return out
}

// setFields adds an answer's header fields to the response, except unforwarded and reserved ones.
func setFields(h *fasthttp.ResponseHeader, fields []wire.Field) {
	for _, f := range fields {
		if unforwardedFields[f.Name] || isReservedField(f.Name) {
			continue
		}
		h.Add(f.Name, f.Value)
	}
}
