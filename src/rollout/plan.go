package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Plan is the record of a rollout in the store.
type Plan struct {
	Order   Order
	ID      uint64 // of the order
	Stage   Stage
	Share   float64       // of the service's requests for the new version, in StageShift
	Step    int           // number of the record within its order, from 1
	Elapsed time.Duration // from the order to this record
	Reason  string        // why this record was written
	Earlier []uint64      // IDs of the service's earlier orders, the latest last; they never start again
}

const maxEarlier = 8 // orders of one service that are remembered

// Encode returns the plan as it is kept in the store.
func (p Plan) Encode() []byte {
	w := wire.RolloutPlan{
		Order: p.ID, Service: p.Order.Service, Version: p.Order.TargetVersion, Revision: p.Order.Revision,
		DurationMS: p.Order.Duration.Milliseconds(), Stage: uint8(p.Stage), Share: p.Share, Step: uint32(p.Step),
		ElapsedMS: p.Elapsed.Milliseconds(), Reason: p.Reason, Earlier: p.Earlier,
	}
	b, err := w.MarshalMsg(nil)
	if err != nil {
		panic(err) // encoding to memory fails only for types without an encoding
	}
	return b
}

// DecodePlan decodes what Encode returns.
func DecodePlan(b []byte) (Plan, error) {
	var w wire.RolloutPlan
	if _, err := w.UnmarshalMsg(b); err != nil {
		return Plan{}, problem.Wrap(problem.Document, err, "", "decode the record of a rollout", "delete the record's key and order the rollout again")
	}
	if stage := Stage(w.Stage); stage < StageCanary || stage > StageRolledBack {
		return Plan{}, problem.New(problem.Document, w.Service, fmt.Sprintf("the record of a rollout has the unknown stage %d", w.Stage), "update this agent")
	}
	return Plan{
		Order: Order{Service: w.Service, TargetVersion: w.Version, Duration: time.Duration(w.DurationMS) * time.Millisecond, Revision: w.Revision},
		ID:    w.Order, Stage: Stage(w.Stage), Share: w.Share, Step: int(w.Step),
		Elapsed: time.Duration(w.ElapsedMS) * time.Millisecond, Reason: w.Reason, Earlier: w.Earlier,
	}, nil
}

// Supersedes reports whether this record takes the place of another record of the service, by
// their revisions in the store (see registry.JoinRevision).
//
// A store restored from an older copy may show an earlier record at a later revision, so revisions
// come last. Of two records of one order, a settled one counts, of two settled ones the first
// written (there is one verdict), and otherwise the later step. Of two orders, the one counts that
// knows the other as earlier.
func (p Plan) Supersedes(revision uint64, other Plan, otherRevision uint64) bool {
	switch {
	case other.ID == 0:
		return true
	case slices.Contains(other.Earlier, p.ID):
		return false
	case slices.Contains(p.Earlier, other.ID):
		return true
	case p.ID != other.ID && !p.Order.Same(other.Order):
		return revision > otherRevision
	case p.Stage.IsSettled() && other.Stage.IsSettled():
		return revision < otherRevision
	case p.Stage.IsSettled() != other.Stage.IsSettled():
		return p.Stage.IsSettled()
	case p.Step != other.Step:
		return p.Step > other.Step
	}
	return revision > otherRevision
}

// covers reports whether the record is about an order, or about a later one.
func (p Plan) covers(o Order) bool {
	return p.ID != 0 && (p.ID == o.ID() || p.Order.Same(o) || slices.Contains(p.Earlier, o.ID()))
}

// isRecordOf reports whether both are the same record, written at whatever revision.
func (p Plan) isRecordOf(other Plan) bool {
	return p.ID == other.ID && p.Stage == other.Stage && p.Step == other.Step
}

// Routing returns what the record asks of senders and servers. seen is the local time at which an
// elapsed time since the order was known.
func (p Plan) Routing(seen time.Time, elapsed time.Duration, stopped bool) Routing {
	return Routing{
		Order: p.ID, TargetVersion: p.Order.TargetVersion, Stage: p.Stage, Share: p.Share,
		Started: seen.Add(-elapsed), Duration: p.Order.Duration, Stopped: stopped,
	}
}
