package dispatch

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

// CoreName identifies the Core in traces.
const CoreName = "dispatch"

// NewRand returns the random source of a core whose trace records the given seed.
func NewRand(seed int64) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), 0)) }

// replay implements trace.Core: it drives a Core from a trace.
type replay struct{ core *Core }

// NewReplay returns a core with the settings and the seed of a recorded trace; errors are of kind problem.Usage.
func NewReplay(h trace.Header) (trace.Core, error) {
	var s Settings
	if len(h.Settings) > 0 {
		if err := json.Unmarshal(h.Settings, &s); err != nil {
			return nil, problem.Wrap(problem.Usage, err, "line 1", "settings of the core cannot be read", "see docs/TRACES.md for the format")
		}
	}
	return &replay{core: &Core{Settings: s.WithDefaults(), Rand: NewRand(h.Seed)}}, nil
}

// Replay decodes one event, steps the core with it and returns the core's actions.
func (r *replay) Replay(now time.Time, kind string, event json.RawMessage) ([]trace.Outcome, error) {
	e, err := decodeEvent(kind, event)
	if err != nil {
		return nil, problem.Wrap(problem.Usage, err, kind, "event cannot be read", "see docs/TRACES.md for the format")
	}
	return trace.Outcomes(r.core.Step(now, e))
}

func decodeEvent(kind string, b json.RawMessage) (Event, error) {
	switch kind {
	case trace.Kind(TableChanged{}):
		return decode[TableChanged](b)
	case trace.Kind(RoutingChanged{}):
		return decode[RoutingChanged](b)
	case trace.Kind(CallArrived{}):
		return decode[CallArrived](b)
	case trace.Kind(AttemptAnswered{}):
		return decode[AttemptAnswered](b)
	case trace.Kind(AttemptRefused{}):
		return decode[AttemptRefused](b)
	case trace.Kind(AttemptDoubted{}):
		return decode[AttemptDoubted](b)
	case trace.Kind(StopBegan{}):
		return decode[StopBegan](b)
	case trace.Kind(AttemptEnded{}):
		return decode[AttemptEnded](b)
	case trace.Kind(TimerFired{}):
		return decode[TimerFired](b)
	case trace.Kind(CallerGone{}):
		return decode[CallerGone](b)
	}
	return nil, fmt.Errorf("kind %q is unknown", kind)
}

func decode[E Event](b json.RawMessage) (Event, error) {
	var e E
	err := json.Unmarshal(b, &e)
	return e, err
}
