package document

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
	return 1
}
