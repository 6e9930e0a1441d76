package rollout

// Action is an output of Coordinator.
type Action interface{ isAction() }

// ReadRecord asks for the service's record and status record to be read from the store (not from a
// cache), answered with RecordRead or ReadFailed.
type ReadRecord struct{}

// WriteRecord asks for a transaction that writes the record and, unless Status is empty, the status
// record, if both are still at the given revisions (0: do not exist). It is answered with exactly
// one of WriteDone, WriteConflict and WriteUnsure.
type WriteRecord struct {
	Plan           Plan
	Revision       uint64
	Status         string // "running", "completed", "rolled_back", or empty to leave the status record as it is
	StatusRevision uint64
}

// BroadcastStop asks for all members to be told at once that the new version of an order is
// stopped.
type BroadcastStop struct {
	Order  uint64
	Reason string
}

// RoutingChanged tells the new routing of the service.
type RoutingChanged struct{ Routing Routing }

// Log asks for a log line.
type Log struct {
	Message string
	Order   Order
	Plan    Plan    // known record, zero if there is none
	Finding Finding // that decided, zero if the evidence did not
	Reason  string
}

func (ReadRecord) isAction()     {}
func (WriteRecord) isAction()    {}
func (BroadcastStop) isAction()  {}
func (RoutingChanged) isAction() {}
func (Log) isAction()            {}
