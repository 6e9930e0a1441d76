package link

import "sync/atomic"

// budget is a number of bytes that the calls of a Pool share.
type budget struct {
	max  int64
	used atomic.Int64
}

func (b *budget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.max {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *budget) give(n int) { b.used.Add(-int64(n)) }
