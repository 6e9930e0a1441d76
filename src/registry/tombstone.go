package registry

import (
	"strconv"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// tombstone marks the incarnations of an instance that started at or before a time as left.
type tombstone struct {
	instance      string
	latestStartMS int64 // milliseconds since the Unix epoch
}

func parseTombstoneTime(i Item) (time.Time, error) {
	ms, err := strconv.ParseInt(string(i.Value), 10, 64)
	if err != nil {
		return time.Time{}, problem.Wrap(problem.Protocol, err, i.Key, "tombstone is not a time in milliseconds", "wait until its lease expires")
	}
	return time.UnixMilli(ms), nil
}
