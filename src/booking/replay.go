package booking

import (
	"encoding/json"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

// CoreName is the name of this package's core in traces.
const CoreName = "booking"

// traceSettings holds the settings of a Core in the header of a trace.
type traceSettings struct {
	Slots      int           `json:"slots"`
	Queue      int           `json:"queue"`
	QueueWait  time.Duration `json:"queue_wait_ns"`
	FixedLimit bool          `json:"exact,omitempty"`
	Policy     Policy        `json:"policy,omitempty"`
}

type replayCore struct{ core *Core }

// NewReplay returns a Core, configured from the header of a trace, that replays the events of the trace.
func NewReplay(h trace.Header) (trace.Core, error) {
	var s traceSettings
	if len(h.Settings) > 0 {
		if err := json.Unmarshal(h.Settings, &s); err != nil {
			return nil, problem.Wrap(problem.Usage, err, "header", "settings of the booking core cannot be read", "see docs/TRACES.md for the format")
		}
	}
	return replayCore{&Core{Slots: s.Slots, FixedLimit: s.FixedLimit, Policy: s.Policy, QueueLimit: s.Queue, QueueWait: s.QueueWait}}, nil
}

// Replay decodes one event, applies it to the core and returns the resulting actions.
func (r replayCore) Replay(now time.Time, kind string, event json.RawMessage) ([]trace.Outcome, error) {
	e, err := decodeEvent(kind, event)
	if err != nil {
		return nil, err
	}
	return trace.Outcomes(r.core.Step(now, e))
}

func decodeEvent(kind string, b json.RawMessage) (Event, error) {
	switch kind {
	case "arrive":
		return decode[Arrive](b)
	case "abandon":
		return decode[Abandon](b)
	case "release":
		return decode[Release](b)
	case "tick":
		return Tick{}, nil
	case "configure":
		return decode[Configure](b)
	case "drain":
		return decode[Drain](b)
	case "leave":
		return decode[Leave](b)
	case "call_limit":
		return decode[CallLimit](b)
	case "speed":
		return decode[Speed](b)
	case "reported":
		return decode[Reported](b)
	case "sent":
		return decode[Sent](b)
	case "resume":
		return Resume{}, nil
	case "health":
		return decode[Health](b)
	}
	return nil, problem.New(problem.Usage, kind, "not an event of the booking core", "check the core and the kinds of events in the trace")
}

func decode[E Event](b json.RawMessage) (Event, error) {
	var e E
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, problem.Wrap(problem.Usage, err, "event", "cannot be read", "see docs/TRACES.md for the format")
	}
	return e, nil
}
