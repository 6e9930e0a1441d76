package quarantine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// Request is what makes a repeated request the same as an earlier one.
type Request struct {
	Method        string
	Host          string
	Target        string // path and query, as the caller sent them
	Authorization string // value of the header field, empty for none
	BodyStart     []byte // the body, or as much of a long one as is always read before it is sent
	BodyLength    int64  // in bytes, -1 if unknown
}

// Content returns the hash by which a request is known, never 0. It is the same in all daemons.
func (r Request) Content() uint64 {
	var h xxh3.Hasher
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.Target, r.Authorization} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part)))) // so that parts cannot run into each other
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(r.BodyLength)))
	_, _ = h.Write(r.BodyStart)
	return max(1, h.Sum64())
}

// FormatContent returns a content hash as logs and operators' commands show it.
func FormatContent(content uint64) string { return strconv.FormatUint(content, 16) }

// ParseContent parses the result of FormatContent.
func ParseContent(s string) (uint64, error) { return strconv.ParseUint(s, 16, 64) }
