package deposit

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

// CoreName is the name of this package's core in traces.
const CoreName = "deposit"

// replaySettings are the settings of a Core in the header of a trace.
type replaySettings struct {
	Holder          uint64        `json:"holder"`
	Expiry          time.Duration `json:"expiry_ns"`
	Timeout         time.Duration `json:"timeout_ns"`
	WritesPerSecond int           `json:"writes_per_second"`
	Start           time.Time     `json:"start"` // of the trace, since claims carry timestamps
}

func encodeSettings(c *Core, start time.Time) json.RawMessage {
	b, err := json.Marshal(replaySettings{
		Holder:          c.Holder,
		Expiry:          c.Expiry,
		Timeout:         c.Timeout,
		WritesPerSecond: c.WritesPerSecond,
		Start:           start.UTC().Round(0),
	})
	if err != nil {
		return nil
	}
	return b
}

// replayCore is a trace.Core that steps a Core through the events of a trace.
type replayCore struct {
	core  *Core
	start time.Time
}

// NewReplay returns a trace.Core that replays events through a Core with the settings of the trace, its Rand seeded from the header; an error is of kind problem.Usage.
func NewReplay(h trace.Header) (trace.Core, error) {
	var s replaySettings
	if err := json.Unmarshal(h.Settings, &s); err != nil {
		return nil, problem.Wrap(problem.Usage, err, "line 1", "cannot decode settings of the deposit core", "record the trace again")
	}
	core := &Core{
		Holder:          s.Holder,
		Expiry:          s.Expiry,
		Timeout:         s.Timeout,
		WritesPerSecond: s.WritesPerSecond,
		Rand:            rand.New(rand.NewPCG(uint64(h.Seed), 0)),
	}
	return &replayCore{core: core, start: s.Start}, nil
}

// Replay implements trace.Core.
func (r *replayCore) Replay(now time.Time, kind string, event json.RawMessage) ([]trace.Outcome, error) {
	e, err := decodeEvent(kind, event)
	if err != nil {
		return nil, problem.Wrap(problem.Usage, err, kind, "cannot decode event of the deposit core", "see docs/TRACES.md for the format")
	}
	// The time of an event counts from the Unix epoch; claims need the wall-clock time of the recording.
	at := r.start.Add(now.Sub(time.Unix(0, 0)))
	return trace.Outcomes(r.core.Step(at, e))
}

func decodeEvent(kind string, event json.RawMessage) (Event, error) {
	switch kind {
	case "arrived":
		return decodeAs[Arrived](event)
	case "confirming":
		return decodeAs[Confirming](event)
	case "ended":
		return decodeAs[Ended](event)
	case "rewriting":
		return decodeAs[Rewriting](event)
	case "era_read":
		return decodeAs[EraRead](event)
	case "slot_read":
		return decodeAs[SlotRead](event)
	case "shared":
		return decodeAs[Shared](event)
	case "slot_swapped":
		return decodeAs[SlotSwapped](event)
	}
	return nil, problem.New(problem.Usage, "unknown event kind", kind, "use the name of an event type in snake case")
}

func decodeAs[E Event](b json.RawMessage) (Event, error) {
	var e E
	err := json.Unmarshal(b, &e)
	return e, err
}
