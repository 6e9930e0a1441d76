package rollout

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
)

// Order asks for a service's requests to be moved to the servers of a version.
type Order struct {
	Service       string
	TargetVersion string
	Duration      time.Duration // from the order to its deadline
	Revision      uint64        // of the order's key in the store, see registry.JoinRevision
}

// ID identifies the order in records, calls and reports; it is never 0. It does not depend on the
// era of the revision.
//
// An order that the operator has written again after the store was restored has another number and
// so another ID, although it is the same order: compare with Same, and use Plan.ID, the ID under
// which the order was first recorded, once there is a record.
func (o Order) ID() uint64 {
	_, number := registry.SplitRevision(o.Revision)
	b := binary.BigEndian.AppendUint64(nil, number)
	b = binary.BigEndian.AppendUint64(b, uint64(len(o.Service)))
	b = append(append(b, o.Service...), o.TargetVersion...)
	return max(1, xxh3.Hash(b))
}

// Same reports whether both are the same order: of the same service and version, and either of the
// same number or seen in different eras of the store.
func (o Order) Same(other Order) bool {
	era, number := registry.SplitRevision(o.Revision)
	otherEra, otherNumber := registry.SplitRevision(other.Revision)
	return o.Service == other.Service && o.TargetVersion == other.TargetVersion && (era != otherEra || number == otherNumber)
}

// Validate returns an error that names the remedy if the order cannot be carried out.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return problem.New(problem.Document, "", "the order names no service", "set service to the service of its key")
	case o.TargetVersion == "":
		return problem.New(problem.Document, o.Service, "the order names no version", "set target_version")
	case o.Duration <= 0:
		return problem.New(problem.Document, o.Service, fmt.Sprintf("the order has a duration of %v", o.Duration), "set duration_s above 0")
	}
	return nil
}
