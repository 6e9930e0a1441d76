package registry

import (
	"strconv"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// marker tells that the incarnations of an instance that were born until a time have said that they leave.
type marker struct {
	instance string
	untilMS  int64 // milliseconds since the Unix epoch
}

func parseMarker(i Item) (time.Time, error) {
	ms, err := strconv.ParseInt(string(i.Value), 10, 64)
	if err != nil {
		return time.Time{}, problem.Wrap(problem.Protocol, err, i.Key, "not a marker of this release", "let it lapse")
	}
	return time.UnixMilli(ms), nil
}
