package rollout

import "github.com/yuccaport/yuccaport/src/wire"

// Event is an input of Coordinator.
type Event interface{ isEvent() }

// OrderSeen reports the order of the service, from the store or from a peer, also if seen before.
type OrderSeen struct{ Order Order }

// OrderWithdrawn reports that the order's key has been deleted, by the store or a reader that
// follows it.
type OrderWithdrawn struct{ Revision uint64 }

// OrderInvalid reports an order that cannot be decoded.
type OrderInvalid struct {
	Revision uint64
	Err      error
}

// RecordSeen reports the service's record as a peer or a watch of the store shows it, also if it is
// older than one seen before. A zero Plan says that the store has no record at that revision, as one
// restored from an older copy may.
type RecordSeen struct {
	Plan     Plan
	Revision uint64
}

// RecordRead reports the answer to ReadRecord: the record and the status record as the store holds
// them now. Revisions are 0 if the key does not exist.
type RecordRead struct {
	Plan           Plan
	Revision       uint64
	StatusRevision uint64
}

// ReadFailed reports that the store did not answer ReadRecord.
type ReadFailed struct{}

// WriteDone reports that the store applied WriteRecord, at a revision.
type WriteDone struct{ Revision uint64 }

// WriteConflict reports that the store refused WriteRecord because a precondition did not hold.
type WriteConflict struct{}

// WriteUnsure reports that the outcome of WriteRecord is unknown.
type WriteUnsure struct{}

// ReportReceived reports what a member says of its backend server.
type ReportReceived struct{ Report wire.RolloutReport }

// StopReceived reports that another coordinator has stopped the new version.
type StopReceived struct {
	Order  uint64
	Reason string
}

// ServersChanged reports the servers of the service, of all versions.
type ServersChanged struct{ Servers []Server }

// RankChanged reports this member's rank among the coordinators of the service: 0 acts first,
// negative is no coordinator.
type RankChanged struct{ Rank int }

// Tick reports that time has passed; send it at least every 100 ms while an order is active.
type Tick struct{}

func (OrderSeen) isEvent()      {}
func (OrderWithdrawn) isEvent() {}
func (OrderInvalid) isEvent()   {}
func (RecordSeen) isEvent()     {}
func (RecordRead) isEvent()     {}
func (ReadFailed) isEvent()     {}
func (WriteDone) isEvent()      {}
func (WriteConflict) isEvent()  {}
func (WriteUnsure) isEvent()    {}
func (ReportReceived) isEvent() {}
func (StopReceived) isEvent()   {}
func (ServersChanged) isEvent() {}
func (RankChanged) isEvent()    {}
func (Tick) isEvent()           {}
