package trace

import (
	"encoding/json"
	"time"
)

// Entry is one event and the outcome stated for it.
type Entry struct {
	At      time.Duration   `json:"at_ns"` // since the start of the trace
	Kind    string          `json:"kind"`
	Event   json.RawMessage `json:"event,omitempty"`
	Outcome []Outcome       `json:"outcome"` // in order; empty when the event has none
}

// Outcome is one action that a core takes.
type Outcome struct {
	Kind   string          `json:"kind"`
	Action json.RawMessage `json:"action,omitempty"`
}
