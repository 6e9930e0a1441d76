package rollout

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Coordinator carries out the orders of one service, together with those of other members. Which
// of them acts never matters to correctness: each write is conditional on the record before.
//
// Every member can run one for each service under an order: with a negative rank it only follows
// the order, the record and stops, and tells the routing.
type Coordinator struct {
	Service       string
	ExposureShare float64 // as Limiter.ExposureShare

	order   Order
	plan    Plan
	stopped bool
	started time.Time
}

// Step processes an event and returns the actions to carry out.
func (c *Coordinator) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case OrderSeen:
		c.order, c.started = e.Order, now
	case RecordSeen:
		c.plan = e.Plan
		return []Action{RoutingChanged{c.Routing(now)}}
	case StopReceived:
		c.stopped = true
		return []Action{RoutingChanged{c.Routing(now)}}
	}
	return nil
}

// Routing returns the service's routing as this coordinator knows it.
func (c *Coordinator) Routing(now time.Time) Routing {
	return c.plan.Routing(c.started, 0, c.stopped)
}

// Plan returns the latest known record and its revision, 0 if there is none.
func (c *Coordinator) Plan() (Plan, uint64) { return c.plan, 0 }

// Finding returns the latest finding, for metrics and logs.
func (c *Coordinator) Finding() Finding { return Finding{} }

// Reply answers a report after it was passed to Step.
func (c *Coordinator) Reply(now time.Time, r wire.RolloutReport) wire.RolloutReply {
	return wire.RolloutReply{
		Order: c.plan.ID, Stage: uint8(c.plan.Stage), Share: c.plan.Share, Step: uint32(c.plan.Step),
		ElapsedMS: now.Sub(c.started).Milliseconds(), Permit: c.plan.ID != 0 && !c.stopped, Stopped: c.stopped,
	}
}
