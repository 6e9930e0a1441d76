package document

import "strconv"

// Priority determines the order in which calls leave an admission queue.
type Priority string

// Values of Priority, from the first served to the last.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Rank returns the position in the order; 0 is served first. A number from 0 to 255 is its own rank; any other text has the rank of PriorityNormal.
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

// PriorityFromRank returns a priority with the given rank, written as a number. It equals none of the constants, and a document cannot contain it.
func PriorityFromRank(rank uint8) Priority { return Priority(strconv.Itoa(int(rank))) }
