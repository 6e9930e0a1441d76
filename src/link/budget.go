package link

import "sync/atomic"

// budget is a quantity, such as bytes of memory, that the links of a Pool share.
type budget struct {
	max  int64
	used atomic.Int64
}

// tryAcquire takes n from the budget and reports whether that much was available.
func (b *budget) tryAcquire(n int) bool {
	if b.used.Add(int64(n)) <= b.max {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

// release returns n to the budget.
func (b *budget) release(n int) { b.used.Add(-int64(n)) }
