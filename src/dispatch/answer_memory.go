package dispatch

import "sync/atomic"

// answerMemory bounds the bytes of all answers that are held.
type answerMemory struct {
	max  int64
	used atomic.Int64
}

// reserve reserves n bytes for an answer and reports whether they were available.
func (m *answerMemory) reserve(n int64) bool {
	if n > m.max/heldAnswerPart {
		return false
	}
	if m.used.Add(n) <= m.max {
		return true
	}
	m.release(n)
	return false
}

// release returns reserved bytes.
func (m *answerMemory) release(n int64) { m.used.Add(-n) }
