package rollout

import (
	"context"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// report sends the state of the own backend server to the coordinators of its service's order.
func (n *Node) report() {
	members := n.Members()
	n.mu.Lock()
	s := n.services[n.Service]
	if s == nil || !s.routing.IsActive() {
		n.mu.Unlock()
		return
	}
	coordinators := n.coordinatorsLocked(s, members)
	plan, _ := s.coordinator.Plan()
	r := wire.RolloutReport{
		Order: s.routing.Order, Service: n.Service, Member: n.Self, Stopped: s.routing.Stopped,
		ElapsedMS: n.Now().Sub(s.routing.Started).Milliseconds(), Step: uint32(plan.Step),
	}
	n.mu.Unlock()
	n.guard.fillReport(&r)
	r.InFlight = int32(n.InFlight()) // after Draining was read: a call that the gate has admitted before is counted by now
	for _, m := range members {
		for _, id := range coordinators {
			if m.ID == id {
				n.reportTo(m, r)
			}
		}
	}
}

// reportTo sends a report to a coordinator unless the answer to an earlier one is awaited.
func (n *Node) reportTo(m wire.Member, r wire.RolloutReport) {
	sentAt := n.Now()
	if m.ID == n.Self {
		n.applyReply(r.Service, n.answer(r), sentAt)
		return
	}
	n.mu.Lock()
	busy := n.reporting[m.ID]
	n.reporting[m.ID] = true
	n.mu.Unlock()
	if busy {
		return
	}
	done := func() {
		n.mu.Lock()
		delete(n.reporting, m.ID)
		n.mu.Unlock()
	}
	err := n.pool.Go(func() {
		defer done()
		if reply, ok := n.send(m, r); ok {
			n.applyReply(r.Service, reply, sentAt)
		}
	})
	if err != nil {
		done()
	}
}

// send sends a report to a member and returns its answer.
func (n *Node) send(m wire.Member, r wire.RolloutReport) (wire.RolloutReply, bool) {
	var reply wire.RolloutReply
	payload, err := r.MarshalMsg(nil)
	if err != nil {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(n.ctx, peerTimeout)
	defer cancel()
	b, err := n.Exchanger.Exchange(ctx, link.Peer{ID: m.ID, Addr: m.Addr}, link.KindRollout, payload)
	if err == nil {
		_, err = reply.UnmarshalMsg(b)
	}
	if err != nil {
		n.Log.V(1).Info("rollout no answer of a member", "member", m.ID, "reason", err.Error())
	}
	return reply, err == nil
}

// ServeMessage answers a message of kind link.KindRollout: payload is a wire.RolloutReport, the
// result a wire.RolloutReply, both in msgpack. The error is of kind problem.Protocol if payload is
// malformed.
func (n *Node) ServeMessage(_ context.Context, _ link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	n.init()
	var r wire.RolloutReport
	if _, err := r.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "rollout report", "not msgpack", "run the same version on all agents")
	}
	reply := n.answer(r)
	return reply.MarshalMsg(nil)
}

// answer takes in a report and returns the answer, zero for a service without an order here. A
// report without a version that says that the order was stopped is the message of a stop.
func (n *Node) answer(r wire.RolloutReport) wire.RolloutReply {
	if r.Stopped {
		n.handleStop(r.Service, r.Order, "told by a member")
	}
	n.mu.Lock()
	s := n.services[r.Service]
	known := s != nil && s.orderID() == r.Order
	n.mu.Unlock()
	if !known {
		return wire.RolloutReply{}
	}
	if isStopMessage := r.Stopped && r.Version == "" && len(r.Routes) == 0; !isStopMessage {
		n.step(r.Service, ReportReceived{Report: r})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return s.coordinator.Reply(n.Now(), r)
}

// handleStop takes in that the new version of an order was stopped, also if the order is not known
// yet.
func (n *Node) handleStop(service string, order uint64, reason string) {
	n.mu.Lock()
	s := n.services[service]
	if s == nil && len(n.services) >= maxServices {
		n.mu.Unlock()
		return
	}
	s = n.ensureLocked(service)
	known := s.stopped == order
	s.stopped = order
	n.mu.Unlock()
	if known {
		return
	}
	if service == n.Service {
		n.guard.stop(order)
	}
	n.step(service, StopReceived{Order: order, Reason: reason})
}

// repeatStop tells the coordinator of a service of a stop that was received before the order.
func (n *Node) repeatStop(service string) {
	n.mu.Lock()
	s := n.services[service]
	order := s.stopped
	repeat := order != 0 && order == s.orderID() && !s.routing.Stopped && s.isActive()
	n.mu.Unlock()
	if repeat {
		n.step(service, StopReceived{Order: order, Reason: "told by a member"})
	}
}

// broadcastStop tells all members that the new version of an order is stopped, by links, so that it
// also works while the store is down.
func (n *Node) broadcastStop(service string, stop BroadcastStop) {
	n.mu.Lock()
	n.ensureLocked(service).stopped = stop.Order
	n.mu.Unlock()
	if service == n.Service {
		n.guard.stop(stop.Order)
	}
	r := wire.RolloutReport{Order: stop.Order, Service: service, Member: n.Self, Stopped: true}
	sent := 0
	for _, m := range n.Members() {
		if m.ID == n.Self {
			continue
		}
		sent++
		_ = n.pool.Go(func() {
			for range stopAttempts {
				if _, ok := n.send(m, r); ok || !clock.Sleep(n.ctx, reportInterval) {
					return
				}
			}
		})
	}
	n.Log.Info("rollout new version stopped", "reason", stop.Reason, "service", service, "order", stop.Order, "members", sent)
}
