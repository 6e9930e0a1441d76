package dispatch

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	ownPrefix     = "Yuccaport-"
	parentField   = "Yuccaport-Parent"
	outcomeField  = "Yuccaport-Outcome"
	outcomeNotRun = "not-run"
	outcomeMay    = "may-have-run"
)

// perConnection are the header fields that concern one connection and are not passed on.
var perConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// requestFields returns the caller's header fields that are passed on: none of ours, none of the connection's.
func (p *Proxy) requestFields(h *fasthttp.RequestHeader) []wire.Field {
	named := connectionNames(string(h.Peek("Connection")))
	out := make([]wire.Field, 0, 8)
	for k, v := range h.All() {
		name := string(k)
		if perConnection[name] || named[name] || isOwnField(name) || p.Headers.Replaces(name) {
			continue
		}
		out = append(out, wire.Field{Name: name, Value: string(v)})
	}
	return out
}

func isOwnField(name string) bool {
	return len(name) >= len(ownPrefix) && strings.EqualFold(name[:len(ownPrefix)], ownPrefix)
}

// connectionNames returns the fields that a Connection field names.
func connectionNames(v string) map[string]bool {
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

// setFields puts an answer's header fields into the response.
func setFields(h *fasthttp.ResponseHeader, fields []wire.Field) {
	for _, f := range fields {
		if perConnection[f.Name] || isOwnField(f.Name) {
			continue
		}
		h.Add(f.Name, f.Value)
	}
}
