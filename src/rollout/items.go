package rollout

import (
	"strings"

	"github.com/yuccaport/yuccaport/src/registry"
)

// KeepItem implements registry.Core.KeepItem: a record stays when the store shows an earlier one of
// the same order, the record of an earlier order, or none. Orders are never kept.
func (n *Node) KeepItem(key string, known, shown []byte) bool {
	if !strings.HasPrefix(key, n.Keys.PlanPrefix) {
		return false
	}
	k, err := DecodePlan(known)
	if err != nil {
		return false
	}
	if shown == nil {
		return true
	}
	s, err := DecodePlan(shown)
	if err != nil {
		return true
	}
	return k.Supersedes(0, s, 0)
}

// HandleItem takes in the state of an order or a record. Older ones of the same key are ignored.
func (n *Node) HandleItem(i registry.Item) {
	n.init()
	n.itemsMu.Lock() // an older item that is handled beside a newer one must not be passed on after it
	defer n.itemsMu.Unlock()
	if service, ok := strings.CutPrefix(i.Key, n.Keys.PlanPrefix); ok {
		n.handlePlan(service, i)
	} else if service, ok := strings.CutPrefix(i.Key, n.Keys.RolloutPrefix); ok {
		n.handleOrder(service, i)
	}
}

func (n *Node) handleOrder(service string, i registry.Item) {
	var order Order
	var err error
	if !i.Deleted {
		order, err = n.DecodeOrder(service, i.Value)
		order.Revision = i.Revision
	}
	n.mu.Lock()
	s := n.ensureLocked(service)
	if i.Revision <= s.orderRevision {
		n.mu.Unlock()
		return
	}
	s.orderRevision = i.Revision
	n.mu.Unlock()
	switch {
	case err != nil:
		n.step(service, OrderInvalid{Revision: i.Revision, Err: err})
	case i.Deleted:
		n.step(service, OrderWithdrawn{Revision: i.Revision})
	default:
		n.step(service, OrderSeen{Order: order})
		n.repeatStop(service)
	}
	n.wakeRun()
}

func (n *Node) handlePlan(service string, i registry.Item) {
	n.mu.Lock()
	s := n.ensureLocked(service)
	isNew := i.Revision > s.planRevision || i.Revision == s.planRevision && !i.Deleted
	if isNew {
		s.planRevision = i.Revision
	}
	n.mu.Unlock()
	switch {
	case !isNew:
		return
	case i.Deleted:
		n.step(service, RecordSeen{Revision: i.Revision})
		return
	}
	p, err := DecodePlan(i.Value)
	if err != nil {
		n.Log.Error(err, "rollout record not read", "service", service, "revision", i.Revision)
		return
	}
	n.step(service, RecordSeen{Plan: p, Revision: i.Revision})
	n.repeatStop(service)
	n.wakeRun()
}

// RestoreItem writes a record again that the store has lost since it came back from an older copy.
// It does not block.
func (n *Node) RestoreItem(known registry.Item, _ uint64) {
	n.init()
	service, ok := strings.CutPrefix(known.Key, n.Keys.PlanPrefix)
	if !ok {
		return
	}
	if p, err := DecodePlan(known.Value); err == nil {
		n.start(func() { n.restoreRecord(service, p) }, func() { n.RestoreItem(known, 0) })
	}
}
