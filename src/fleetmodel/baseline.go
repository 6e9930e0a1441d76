package fleetmodel

import (
	"math"
	"time"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Baseline is a selection that the one of dispatch is compared with.
type Baseline string

// The baselines. A refused call is sent on, up to baselineAttempts times in all; the last one is final.
const (
	TwoChoices  Baseline = "two_choices"  // the less loaded of two random servers, by what their last answers said and the agent's own calls
	LeastLoaded Baseline = "least_loaded" // the least loaded of all servers, by the same
	Probing     Baseline = "probing"      // two random servers are asked for their load first, and the one expected to be sooner is taken
)

const (
	baselineAttempts = 4
	probesPerCall    = 2
)

// baselineView is what an agent knows of a server with a baseline.
type baselineView struct {
	busy     float64 // slots in use and calls that wait, as its last answer or refusal said
	inFlight int     // calls that this agent has sent since
}

// sendBaseline sends an attempt of a call to the server that the baseline chooses.
func (a *agent) sendBaseline(id uint64, attempt int, tried []uint64) {
	f := a.fleet
	q := a.calls[id]
	candidates := f.serversOf(q.route.Service, tried)
	if len(candidates) == 0 || f.clock.now.After(q.deadline) {
		a.refuseCall(dispatch.RefuseCall{Call: id, Reason: wire.ReasonQueueFull})
		return
	}
	var to *agent
	switch f.Baseline {
	case Probing:
		a.probe(id, attempt, tried, candidates)
		return
	case TwoChoices:
		to = a.lessBusy(f.draw(candidates), f.draw(candidates))
	case LeastLoaded:
		start := f.rand.IntN(len(candidates)) // equal ones are taken in turn
		to = candidates[start]
		for i := range candidates {
			to = a.lessBusy(to, candidates[(start+i)%len(candidates)])
		}
	}
	a.deliverBaseline(id, attempt, tried, to)
}

// probe asks random servers for their load and sends the call to the one expected to be sooner.
func (a *agent) probe(id uint64, attempt int, tried []uint64, candidates []*agent) {
	f := a.fleet
	var best *agent
	lowest, roundTrip := math.Inf(1), time.Duration(0)
	q := a.calls[id]
	for range probesPerCall {
		srv := f.draw(candidates)
		a.countMessage(srv, q, 0)
		srv.countMessage(a, q, 0)
		roundTrip = max(roundTrip, 2*a.delayTo(srv.member.ID))
		l := srv.load(q.route)
		if d := (l.Backlog + l.ServiceTime*time.Duration(max(100, l.Speed))/100).Seconds(); d < lowest {
			best, lowest = srv, d
		}
	}
	f.clock.after(roundTrip, func() { a.deliverBaseline(id, attempt, tried, best) })
}

func (a *agent) deliverBaseline(id uint64, attempt int, tried []uint64, to *agent) {
	f := a.fleet
	q := a.calls[id]
	now := f.clock.now
	a.viewOf(to).inFlight++
	if q.counted {
		q.route.result.Attempts++
		if to.member.Domain != a.member.Domain {
			q.route.result.Crossed++
		}
	}
	a.countMessage(to, q, q.route.Body)
	in := &inbound{from: a, attempt: dispatch.SendAttempt{Call: id, Attempt: attempt, Member: to.member.ID}, request: q, tried: append(tried, to.member.ID)}
	f.clock.after(a.delayTo(to.member.ID), func() {
		to.arrive(in, booking.Arrive{Route: q.route.Name, Priority: q.route.Priority, Timeout: q.deadline.Sub(now), Objective: q.objective.Sub(now), Final: attempt == baselineAttempts})
	})
}

// baselineRefused sends a refused call on.
func (a *agent) baselineRefused(in *inbound, e dispatch.AttemptRefused) {
	a.observeBaseline(in.attempt.Member, e.Load)
	if in.attempt.Attempt == baselineAttempts {
		a.refuseCall(dispatch.RefuseCall{Call: e.Call, Reason: e.Reason, RetryAfter: e.RetryAfter})
		return
	}
	a.sendBaseline(e.Call, in.attempt.Attempt+1, in.tried)
}

func (a *agent) observeBaseline(member uint64, load dispatch.Load) {
	v := a.viewOf(a.fleet.agent(member))
	v.busy, v.inFlight = float64(load.Slots-load.Free), 0
}

func (a *agent) viewOf(srv *agent) *baselineView {
	if a.view == nil {
		a.view = map[uint64]*baselineView{}
	}
	v := a.view[srv.member.ID]
	if v == nil {
		v = &baselineView{}
		a.view[srv.member.ID] = v
	}
	return v
}

// lessBusy returns the server that the agent believes to be less busy, b if they are equal.
func (a *agent) lessBusy(x, y *agent) *agent {
	vx, vy := a.viewOf(x), a.viewOf(y)
	if vx.busy+float64(vx.inFlight) < vy.busy+float64(vy.inFlight) {
		return x
	}
	return y
}

func (f *Fleet) draw(from []*agent) *agent { return from[f.rand.IntN(len(from))] }

// serversOf returns the agents beside the servers of a service, without those already tried.
func (f *Fleet) serversOf(service string, tried []uint64) []*agent {
	var out []*agent
	for _, a := range f.agents {
		isTried := false
		for _, id := range tried {
			isTried = isTried || id == a.member.ID
		}
		if a.member.Service == service && !isTried {
			out = append(out, a)
		}
	}
	return out
}
