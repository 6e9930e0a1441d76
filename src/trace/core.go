package trace

import (
	"encoding/json"
	"time"
)

// Core is a decision core as a replay drives it.
type Core interface {
	// Replay decodes one event, steps the core and returns its actions.
	Replay(now time.Time, kind string, event json.RawMessage) ([]Outcome, error)
}
