package roster

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

// CoreName is the name of the roster's core in traces.
const CoreName = "roster"

// coreSettings are the settings of a Core in the header of a trace.
type coreSettings struct {
	Self     wire.Member      `json:"self"`
	Timing   Timing           `json:"timing"`
	Peers    []netip.AddrPort `json:"peers"`
	HasStore bool             `json:"has_store"`
}

// Replay steps a Core through the events of a trace.
type Replay struct{ core *Core }

// NewReplay returns the core that a trace's header describes; an error is of kind problem.Usage.
func NewReplay(h trace.Header) (trace.Core, error) {
	var s coreSettings
	if err := json.Unmarshal(h.Settings, &s); err != nil {
		return nil, problem.Wrap(problem.Usage, err, "line 1", "cannot decode settings of the roster core", "see docs/TRACES.md for the format")
	}
	c := &Core{Self: s.Self, Timing: s.Timing, Rand: newRand(h.Seed), Peers: s.Peers, HasStore: s.HasStore}
	return &Replay{core: c}, nil
}

// Replay decodes one event, steps the core and returns its actions; an error is of kind problem.Usage.
func (r *Replay) Replay(now time.Time, kind string, event json.RawMessage) ([]trace.Outcome, error) {
	e, err := decodeEvent(kind, event)
	if err != nil {
		return nil, problem.Wrap(problem.Usage, err, kind, "cannot decode event of the roster core", "see docs/TRACES.md for the format")
	}
	return trace.Outcomes(r.core.Step(now, e))
}

func decodeEvent(kind string, b json.RawMessage) (Event, error) {
	switch kind {
	case "tick":
		return decodeAs[Tick](b)
	case "received":
		return decodeAs[Received](b)
	case "ready_changed":
		return decodeAs[ReadyChanged](b)
	case "leave_asked":
		return LeaveAsked{}, nil
	case "stop_asked":
		return StopAsked{}, nil
	case "asked":
		return decodeAs[Asked](b)
	case "exchanged":
		return decodeAs[Exchanged](b)
	case "seeds_read":
		return decodeAs[SeedsRead](b)
	case "domains_read":
		return decodeAs[DomainsRead](b)
	}
	return nil, problem.New(problem.Usage, kind, "unknown event kind", "see docs/TRACES.md for the events of each core")
}

func decodeAs[E Event](b json.RawMessage) (Event, error) {
	var e E
	err := json.Unmarshal(b, &e)
	return e, err
}
