package quarantine

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Path is that of the HTTP endpoint that ServeHTTP serves.
const Path = "/quarantine"

// ServeHTTP answers a GET request with the Entries as JSON, and a POST request, which lifts the
// quarantine of the request named by the query parameter release, with those that remain.
func (n *Node) ServeHTTP(ctx *fasthttp.RequestCtx) {
	release := string(ctx.QueryArgs().Peek("release"))
	switch {
	case release != "" && !ctx.IsPost():
		ctx.Error("release changes state; use POST", fasthttp.StatusMethodNotAllowed)
		return
	case ctx.IsPost():
		content, err := ParseContent(release)
		if err != nil {
			ctx.Error("release must name a content hash, as the list of requests that are quarantined shows it", fasthttp.StatusBadRequest)
			return
		}
		if !n.Release(content) {
			ctx.Error("no request with this content is quarantined", fasthttp.StatusNotFound)
			return
		}
	}
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(n.Entries()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
