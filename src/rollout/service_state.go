package rollout

const noRank = -2 // no rank was told to the coordinator yet

// serviceState is what a node keeps of a service that is or was under an order.
type serviceState struct {
	name        string
	coordinator Coordinator
	routing     Routing
	servers     []Server
	rank        int
	stopped     uint64 // order that a member has reported as stopped

	orderRevision, planRevision uint64 // of the last items
}

// isActive reports whether an order is to be carried out, or a record to be written again.
func (s *serviceState) isActive() bool {
	c := &s.coordinator
	return c.store.behind || c.id() != 0 && (!c.hasRecord() || !c.plan.Stage.IsSettled())
}

// orderID returns the ID of the order that is or was carried out, 0 for none.
func (s *serviceState) orderID() uint64 { return s.coordinator.id() }
