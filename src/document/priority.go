package document

import "strconv"

// Priority is the order in which calls leave an admission queue.
type Priority string

// The priorities, first served first.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Rank returns 0 for the priority that is served first.
func (p Priority) Rank() uint8 {
	switch p {
	case PriorityHigh:
		return 0
	case PriorityLow:
		return 2
	}
	if n, err := strconv.ParseUint(string(p), 10, 8); err == nil {
		return uint8(n)
	}
	return 1
}

// PriorityFromRank returns the priority of a rank, 0 for the one that is served first.
func PriorityFromRank(rank uint8) Priority { return Priority(strconv.Itoa(int(rank))) }
