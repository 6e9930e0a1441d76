package rollout

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	rankDelay      = 300 * time.Millisecond // after which the next coordinator acts if nothing has changed
	readRetryDelay = 500 * time.Millisecond // after the store has not answered a read
	maxReportAge   = time.Second            // of reports that say how a server is now
	maxTickGap     = time.Second            // beyond it, this member was suspended and what it knows is old
	stopInterval   = 2 * time.Second        // between broadcasts of a stop, until the record is settled
	graceTime      = 2 * time.Second        // for which servers may be missing, for example while they restart
)

// Coordinator carries out the orders of one service, together with those of other members. Which
// of them acts never matters to correctness: each write is conditional on the record before.
//
// Every member can run one for each service under an order: with a negative rank it only follows
// the order, the record and stops, and tells the routing.
type Coordinator struct {
	Service string

	turn     int   // rank among the coordinators, from 1; 0 for none
	order    Order // the one being carried out, zero if there is none
	next     Order // to be carried out once the current one is settled, zero if there is none
	started  time.Time
	earlier  []uint64 // IDs of orders that never start again
	invalid  uint64   // revision of the last invalid order that was logged
	repeated uint64   // revision of the last settled order that was seen again and logged
	plan     Plan     // latest record of the service, zero if there is none
	revision uint64   // of plan

	withdrawn  Order // the last order that was withdrawn
	stopped    bool  // of order
	stopReason string
	stopTold   time.Time // last broadcast
	hasWritten bool      // this coordinator has asked for a record of order to be written

	store   storeState
	wanted  Plan // record that this coordinator wants to write
	since   time.Time
	pending *WriteRecord
	reading bool
	readAt  time.Time // earliest next read

	servers   []Server
	maxReady  int       // most ready servers of the target version at a time, up to 2
	missingAt time.Time // since when there are fewer
	noOldAt   time.Time // since when there is no ready server of another version
	reports   map[uint64]receivedReport
	judge     *Judge
	finding   Finding
	tickAt    time.Time
	resumedAt time.Time // when this member last came back from a suspension
	routing   Routing   // last told
}

// storeState is what the store is known to hold.
type storeState struct {
	known          bool // read or written, and not in doubt since
	behind         bool // it shows an older record than the one known
	plan           Plan
	revision       uint64
	statusRevision uint64
}

// receivedReport is the last report of a server.
type receivedReport struct {
	report wire.RolloutReport
	at     time.Time
}

// Step processes an event and returns the actions to carry out.
func (c *Coordinator) Step(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case OrderSeen:
		out = c.orderSeen(now, e.Order)
	case OrderWithdrawn:
		out = c.orderWithdrawn(now, e.Revision)
	case OrderInvalid:
		out = c.orderInvalid(e)
	case RecordSeen:
		out = c.recordSeen(now, e)
	case RecordRead:
		out = c.recordRead(now, e)
	case ReadFailed:
		if c.reading {
			c.reading, c.readAt = false, now.Add(readRetryDelay)
		}
	case WriteDone:
		out = c.writeDone(now, e)
	case WriteConflict:
		c.pending, c.store.known = nil, false
	case WriteUnsure:
		if c.pending != nil {
			c.pending, c.store.known = nil, false
			out = []Action{c.log("rollout write unsure, reading the record", "")}
		}
	case ReportReceived:
		if out = c.reportReceived(now, e.Report); len(out) == 0 {
			return nil // whether the stage is due is looked at with each Tick
		}
	case StopReceived:
		if e.Order == c.id() {
			out = c.stop(now, e.Reason)
		}
	case ServersChanged:
		c.servers = e.Servers
	case RankChanged:
		c.turn = max(0, e.Rank+1)
	case Tick:
		out = c.tick(now)
	}
	out = append(out, c.act(now)...)
	return c.tellRouting(now, out)
}

// id returns the ID of the order being carried out, 0 if there is none.
func (c *Coordinator) id() uint64 {
	switch {
	case c.order == Order{}:
		return 0
	case c.hasRecord():
		return c.plan.ID
	}
	return c.order.ID()
}

// hasRecord reports whether the known record is that of the order being carried out.
func (c *Coordinator) hasRecord() bool { return c.plan.ID != 0 && c.plan.Order.Same(c.order) }

// isActive reports whether the order has a record that is not settled.
func (c *Coordinator) isActive() bool { return c.hasRecord() && !c.plan.Stage.IsSettled() }

// elapsed returns the time since the order.
func (c *Coordinator) elapsed(now time.Time) time.Duration { return now.Sub(c.started) }

// Routing returns the service's routing as this coordinator knows it.
func (c *Coordinator) Routing(now time.Time) Routing {
	if c.hasRecord() {
		return c.plan.Routing(now, c.elapsed(now), c.stopped)
	}
	return Routing{
		Order: c.id(), TargetVersion: c.order.TargetVersion, Started: c.started,
		Duration: c.order.Duration, Stopped: c.stopped,
	}
}

// tellRouting appends the routing if it has changed in more than its start.
func (c *Coordinator) tellRouting(now time.Time, out []Action) []Action {
	r := c.Routing(now)
	told := c.routing
	told.Started = r.Started
	if r == told {
		return out
	}
	c.routing = r
	return append(out, RoutingChanged{Routing: r})
}

// Plan returns the latest known record and its revision, 0 if there is none.
func (c *Coordinator) Plan() (Plan, uint64) { return c.plan, c.revision }

// Finding returns the latest finding, for metrics and logs.
func (c *Coordinator) Finding() Finding { return c.finding }

// Reply answers a report after it was passed to Step.
func (c *Coordinator) Reply(now time.Time, r wire.RolloutReport) wire.RolloutReply {
	if r.Order != c.id() {
		return wire.RolloutReply{}
	}
	reply := wire.RolloutReply{Order: c.id(), ElapsedMS: c.elapsed(now).Milliseconds(), Stopped: c.stopped}
	if c.hasRecord() {
		reply.Stage, reply.Share, reply.Step = uint8(c.plan.Stage), c.plan.Share, uint32(c.plan.Step)
		reply.Permit = c.turn > 0 && c.isActive() && !c.stopped
	}
	return reply
}

func (c *Coordinator) reportReceived(now time.Time, r wire.RolloutReport) []Action {
	if r.Order != c.id() || r.Service != c.Service {
		return nil
	}
	if started := now.Add(-time.Duration(r.ElapsedMS) * time.Millisecond); started.Before(c.started) {
		c.started = started
	}
	if c.reports == nil {
		c.reports = map[uint64]receivedReport{}
	}
	c.reports[r.Member] = receivedReport{report: r, at: now}
	if c.judge != nil {
		c.judge.Add(now, r)
	}
	if r.Stopped {
		return c.stop(now, "stopped by another coordinator")
	}
	return nil
}

// tick evaluates the evidence and notes which servers are missing.
func (c *Coordinator) tick(now time.Time) []Action {
	if !c.tickAt.IsZero() && now.Sub(c.tickAt) > maxTickGap {
		c.resumedAt = now
	}
	c.tickAt = now
	if c.id() == 0 {
		return nil
	}
	c.watchServers(now)
	if c.judge == nil || !c.isActive() || c.turn == 0 {
		return nil
	}
	if c.stopped && now.Sub(c.stopTold) >= stopInterval {
		c.stopTold = now
		return []Action{BroadcastStop{Order: c.id(), Reason: c.stopReason}}
	}
	c.judge.Servers = c.expectedServers()
	c.finding = c.judge.Find(now)
	if c.finding.Bad {
		return c.stop(now, c.finding.String())
	}
	return nil
}

// expectedServers returns how many servers of the target version there are or will be, as far as it
// matters to Judge: as many are started as there are old ones.
func (c *Coordinator) expectedServers() int {
	target, others := 0, 0
	for _, srv := range c.servers {
		if srv.Version == c.order.TargetVersion {
			target++
		} else {
			others++
		}
	}
	return max(target, min(others, minBadServers))
}

func (c *Coordinator) watchServers(now time.Time) {
	ready, _ := c.readySlots(true)
	c.maxReady = max(c.maxReady, min(2, ready))
	since(&c.missingAt, now, ready < max(1, c.maxReady))
	old, _ := c.readySlots(false)
	since(&c.noOldAt, now, old == 0)
}

// since keeps in at the time since when a condition holds, zero while it does not.
func since(at *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// readySlots returns how many servers, and slots, of the target version or of others are ready.
func (c *Coordinator) readySlots(target bool) (servers, slots int) {
	for _, srv := range c.servers {
		if srv.Ready && (srv.Version == c.order.TargetVersion) == target {
			servers, slots = servers+1, slots+srv.Slots
		}
	}
	return servers, slots
}

// stop forbids the new version for the rest of the order, so that the verdict will be rolled_back.
// All coordinators tell it, since the one that told it first may have been cut off.
func (c *Coordinator) stop(now time.Time, reason string) []Action {
	if c.stopped || c.hasRecord() && c.plan.Stage.IsSettled() {
		return nil
	}
	c.stopped, c.stopReason = true, reason
	out := []Action{c.log("rollout stopped", reason)}
	if c.turn > 0 {
		c.stopTold = now
		out = append(out, BroadcastStop{Order: c.id(), Reason: reason})
	}
	return out
}

func (c *Coordinator) log(message, reason string) Log {
	return Log{Message: message, Order: c.order, Plan: c.plan, Finding: c.finding, Reason: reason}
}
