package registry

import (
	"strconv"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// tombstone records that all incarnations of an instance ID that started at or before latestStartMS have announced that they are leaving.
type tombstone struct {
	instance      string
	latestStartMS int64 // milliseconds since the Unix epoch
}

func parseTombstoneTime(i Item) (time.Time, error) {
	ms, err := strconv.ParseInt(string(i.Value), 10, 64)
	if err != nil {
		return time.Time{}, problem.Wrap(problem.Protocol, err, i.Key, "tombstone is not a time in milliseconds; another release may have written it", "wait until its lease expires")
	}
	return time.UnixMilli(ms), nil
}
