package rollout

import (
	"fmt"
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
}

// Encode returns the plan as it is kept in the store.
func (p Plan) Encode() []byte {
	w := wire.RolloutPlan{
		Order: p.ID, Service: p.Order.Service, Version: p.Order.TargetVersion, Revision: p.Order.Revision,
		DurationMS: p.Order.Duration.Milliseconds(), Stage: uint8(p.Stage), Share: p.Share, Step: uint32(p.Step),
		ElapsedMS: p.Elapsed.Milliseconds(), Reason: p.Reason,
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
		Elapsed: time.Duration(w.ElapsedMS) * time.Millisecond, Reason: w.Reason,
	}, nil
}

// Supersedes reports whether this record takes the place of another record of the service, by
// their revisions in the store (see registry.JoinRevision).
//
// Of two records of the same order, a settled one takes the place of any that is not, and otherwise
// the later step counts, whatever the revisions say: a store restored from an older copy may show an
// earlier record at a later revision. Of two orders, the one of the later record counts.
func (p Plan) Supersedes(revision uint64, other Plan, otherRevision uint64) bool {
	if !p.Order.Same(other.Order) {
		return revision > otherRevision
	}
	if p.Stage.IsSettled() != other.Stage.IsSettled() {
		return p.Stage.IsSettled()
	}
	if p.Step != other.Step {
		return p.Step > other.Step
	}
	return revision > otherRevision
}

// Routing returns what the record asks of senders and servers. seen is the local time at which an
// elapsed time since the order was known.
func (p Plan) Routing(seen time.Time, elapsed time.Duration, stopped bool) Routing {
	return Routing{
		Order: p.ID, TargetVersion: p.Order.TargetVersion, Stage: p.Stage, Share: p.Share,
		Started: seen.Add(-elapsed), Duration: p.Order.Duration, Stopped: stopped,
	}
}
