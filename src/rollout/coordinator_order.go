package rollout

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/registry"
)

// orderSeen starts an order, or keeps it until the one being carried out is settled.
func (c *Coordinator) orderSeen(now time.Time, o Order) []Action {
	if err := o.Validate(); err != nil {
		return c.orderInvalid(OrderInvalid{Revision: o.Revision, Err: err})
	}
	isCurrent := c.order.Same(o) || c.id() == o.ID()
	switch {
	case isCurrent && c.hasRecord() && c.plan.Stage.IsSettled() && o.ID() != c.plan.ID && o.Revision != c.repeated:
		c.repeated, c.next = o.Revision, Order{}
		return []Action{Log{Message: "rollout order repeated after the store was restored, already settled", Order: o, Plan: c.plan}}
	case isCurrent:
		c.next = Order{}
		return nil
	case c.plan.covers(o), slices.Contains(c.earlier, o.ID()), c.next.Same(o):
		return nil
	case c.isActive():
		c.next = o
		return []Action{Log{Message: "rollout order waits until the running one is settled", Order: o, Plan: c.plan}}
	}
	return c.start(now, o)
}

func (c *Coordinator) start(now time.Time, o Order) []Action {
	if c.plan.ID != 0 {
		c.addEarlier(c.plan.Earlier...)
		c.addEarlier(c.plan.ID)
	}
	c.order, c.next, c.started = o, Order{}, now
	c.stopped, c.stopReason, c.hasWritten = false, "", false
	c.maxReady, c.missingAt, c.noOldAt = 0, time.Time{}, time.Time{}
	c.reports, c.judge, c.finding = nil, &Judge{TargetVersion: o.TargetVersion}, Finding{}
	c.wanted, c.since = Plan{}, time.Time{}
	return []Action{Log{Message: "rollout order seen", Order: o, Plan: c.plan}}
}

func (c *Coordinator) addEarlier(ids ...uint64) {
	for _, id := range ids {
		if !slices.Contains(c.earlier, id) {
			c.earlier = append(c.earlier, id)
		}
	}
	c.earlier = c.earlier[max(0, len(c.earlier)-maxEarlier):]
}

// orderWithdrawn rolls a running order back, since nothing allows requests to go to its version any
// more. A key that is missing in a later era of the store was not withdrawn: the store lost it.
func (c *Coordinator) orderWithdrawn(now time.Time, revision uint64) []Action {
	current, _ := registry.SplitRevision(c.order.Revision)
	era, _ := registry.SplitRevision(revision)
	c.next = Order{}
	switch {
	case c.id() == 0 || c.withdrawn == c.order || c.hasRecord() && c.plan.Stage.IsSettled():
		return nil
	case era != current:
		return []Action{c.log("rollout order missing in the restored store, going on", "")}
	}
	c.withdrawn = c.order
	if !c.hasRecord() && !c.hasWritten {
		out := []Action{c.log("rollout order withdrawn before it started", "")}
		c.addEarlier(c.id())
		c.order = Order{}
		return out
	}
	return append([]Action{c.log("rollout order withdrawn", "")}, c.stop(now, "order withdrawn")...)
}

// orderInvalid logs an order that cannot be carried out, once.
func (c *Coordinator) orderInvalid(e OrderInvalid) []Action {
	if e.Revision == c.invalid {
		return nil
	}
	c.invalid = e.Revision
	return []Action{Log{Message: "rollout order refused", Order: Order{Service: c.Service, Revision: e.Revision}, Plan: c.plan, Reason: e.Err.Error()}}
}
