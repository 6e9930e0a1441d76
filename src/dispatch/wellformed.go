package dispatch

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/wire"
)

// isWellFormed reports whether a request's framing can be read in one way only, which guards against request smuggling.
func isWellFormed(h *fasthttp.RequestHeader) bool {
	lengths, encodings, hosts := 0, 0, 0
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte("\n")) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			if len(bytes.TrimSpace(line)) > 0 {
				return false // a line without a colon, such as a folded one
			}
			continue
		}
		if len(name) == 0 || bytes.ContainsAny(name, " \t\r") {
			return false
		}
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
			if !isDecimal(bytes.TrimSpace(value)) {
				return false
			}
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return false
			}
		case bytes.EqualFold(name, []byte(fasthttp.HeaderHost)):
			hosts++
		}
	}
	return lengths+encodings <= 1 && hosts == 1
}

// isWellFormedReply reports whether an answer may be passed on as it is. A member of an earlier build
// passes on what is none.
func isWellFormedReply(h wire.ReplyHead) bool {
	for _, f := range h.Fields {
		if !header.IsName(f.Name) {
			return false
		}
	}
	return header.IsFinal(int(h.Status))
}

func isDecimal(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// rawPath returns the path as the caller sent it, which is how the backend server interprets it, and false for a target that is not a path.
func rawPath(ctx *fasthttp.RequestCtx) (string, bool) {
	path, _, _ := strings.Cut(string(ctx.RequestURI()), "?")
	return path, strings.HasPrefix(path, "/") && !strings.ContainsAny(path, " #")
}
