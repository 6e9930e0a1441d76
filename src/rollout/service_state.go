package rollout

import "github.com/yuccaport/yuccaport/src/registry"

const (
	noRank        = -2 // no rank was told to the coordinator yet
	maxPastOrders = 16
)

// serviceState is what a node keeps of a service that is or was under an order.
type serviceState struct {
	name        string
	coordinator Coordinator
	routing     Routing
	order       Order // last seen, zero if it was withdrawn
	past        []Order
	servers     []Server
	rank        int
	stopped     uint64 // order that a member has reported as stopped

	orderRevision, planRevision uint64 // of the last items
}

// isActive reports whether an order is to be carried out.
func (s *serviceState) isActive() bool {
	if s.routing.IsActive() {
		return true
	}
	plan, _ := s.coordinator.Plan()
	return s.order.TargetVersion != "" && !(plan.ID != 0 && plan.Order.Same(s.order) && plan.Stage.IsSettled())
}

// orderID returns the ID of the order that is carried out, or of the one to be carried out.
func (s *serviceState) orderID() uint64 {
	if s.routing.IsActive() || s.order.TargetVersion == "" {
		return s.routing.Order
	}
	plan, _ := s.coordinator.Plan()
	if plan.ID != 0 && plan.Order.Same(s.order) {
		return plan.ID
	}
	return s.order.ID()
}

// isPast reports whether an order was replaced by a later one before the store came back from an
// older copy, which shows it again.
func (s *serviceState) isPast(o Order) bool {
	era, number := registry.SplitRevision(o.Revision)
	for _, p := range s.past {
		pastEra, pastNumber := registry.SplitRevision(p.Revision)
		if era > pastEra && number == pastNumber && p.Same(o) && !s.order.Same(o) {
			return true
		}
	}
	return false
}

// setOrder records an order as the current one.
func (s *serviceState) setOrder(o Order) {
	if s.order.TargetVersion != "" && !s.order.Same(o) {
		s.past = append(s.past, s.order)
		s.past = s.past[max(0, len(s.past)-maxPastOrders):]
	}
	s.order = o
}
