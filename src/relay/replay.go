package relay

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/trace"
)

// CoreName names the core in the header of a trace.
const CoreName = "relay"

// ReplaySettings are the settings of a Core in the header of a trace.
type ReplaySettings struct {
	Self        uint64           `json:"self"`
	Domain      string           `json:"domain"`
	Profile     settings.Profile `json:"profile"`
	DirectWatch bool             `json:"baseline,omitempty"`
}

// replay drives a Core from a trace.
type replay struct{ core *Core }

// NewReplay returns a core with the settings and seed of a trace header; an error is of kind problem.Usage.
func NewReplay(h trace.Header) (trace.Core, error) {
	var s ReplaySettings
	if err := json.Unmarshal(h.Settings, &s); err != nil {
		return nil, problem.Wrap(problem.Usage, err, "line 1", "settings of the relay core cannot be read", "see docs/TRACES.md for the format")
	}
	return &replay{core: newCore(s, h.Seed)}, nil
}

func newCore(s ReplaySettings, seed int64) *Core {
	return &Core{Self: s.Self, Domain: s.Domain, Tuning: TuningOf(s.Profile), DirectWatch: s.DirectWatch, Rand: rand.New(rand.NewPCG(uint64(seed), 0))}
}

// Replay implements trace.Core.
func (r *replay) Replay(now time.Time, kind string, event json.RawMessage) ([]trace.Outcome, error) {
	e, err := decodeEvent(kind, event)
	if err != nil {
		return nil, err
	}
	return trace.Outcomes(r.core.Step(now, e))
}

func decodeEvent(kind string, event json.RawMessage) (Event, error) {
	switch kind {
	case "tick":
		return decode[Tick](event)
	case "members":
		return decode[Members](event)
	case "head_seen":
		return decode[HeadSeen](event)
	case "head_failed":
		return decode[HeadFailed](event)
	case "fetch_failed":
		return decode[FetchFailed](event)
	case "lease_answered":
		return decode[LeaseAnswered](event)
	case "lease_failed":
		return decode[LeaseFailed](event)
	case "push_received":
		return decode[PushReceived](event)
	case "push_done":
		return decode[PushDone](event)
	case "push_failed":
		return decode[PushFailed](event)
	case "peer_ahead":
		return decode[PeerAhead](event)
	case "asked":
		return decode[Asked](event)
	case "pulled":
		return decode[Pulled](event)
	case "pull_requested":
		return decode[PullRequested](event)
	case "taken":
		return decode[Taken](event)
	case "refused":
		return decode[Refused](event)
	}
	return nil, problem.New(problem.Usage, "event "+kind, "is unknown to the relay core", "see docs/TRACES.md for the kinds")
}

func decode[E Event](event json.RawMessage) (Event, error) {
	var e E
	if len(event) == 0 {
		return e, nil
	}
	if err := json.Unmarshal(event, &e); err != nil {
		return nil, problem.Wrap(problem.Usage, err, "event", "cannot be read", "see docs/TRACES.md for the format")
	}
	return e, nil
}
