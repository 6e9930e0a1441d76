package fleetmodel

import (
	"time"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/wire"
)

// agent is one agent with its backend server.
type agent struct {
	fleet      *Fleet
	member     dispatch.Member
	speed      float64 // of its server
	noise      Noise
	noisy      bool                     // the noise affects its server
	view       map[uint64]*baselineView // with a baseline, by member
	limit      float64                  // that its server names, 0 for none
	tickAt     time.Time
	admitted   []time.Time // of the calls of its server
	dispatch   *dispatch.Core
	booking    *booking.Core
	quarantine *quarantine.Core
	crashes    int                 // of its server
	downtime   time.Duration       // of its server after a crash
	calls      map[uint64]*request // of its callers and of its server, while its dispatch core handles them
	inbound    map[uint64]*inbound // attempts that have arrived here, by their number in the booking core
}

// send passes a request to the dispatch core.
func (a *agent) send(q *request, done func(ok bool)) {
	if done != nil {
		q.done = done
	}
	f := a.fleet
	f.lastCall++
	id := f.lastCall
	a.calls[id] = q
	now := f.clock.now
	if f.Baseline != "" {
		a.sendBaseline(id, 1, nil)
		return
	}
	a.stepDispatch(dispatch.CallArrived{Call: id, Policy: q.route.policy, Remaining: q.deadline.Sub(now), Objective: q.route.Objective})
}

// stepDispatch passes an event to the dispatch core and carries out its actions.
func (a *agent) stepDispatch(e dispatch.Event) {
	for _, action := range a.dispatch.Step(a.fleet.clock.now, e) {
		switch action := action.(type) {
		case dispatch.SendAttempt:
			a.sendAttempt(action)
		case dispatch.CancelAttempt: // the attempt goes on; its answer finds no call
		case dispatch.AcceptAnswer:
			a.stepDispatch(dispatch.AttemptEnded{Call: action.Call, Attempt: action.Attempt})
		case dispatch.RefuseCall:
			a.refuseCall(action)
		case dispatch.SetTimer:
			a.fleet.clock.after(action.After, func() {
				a.stepDispatch(dispatch.TimerFired{Call: action.Call, Attempt: action.Attempt, Timer: action.Timer})
			})
		}
	}
}

// sendAttempt delivers an attempt to the agent beside the chosen server.
func (a *agent) sendAttempt(s dispatch.SendAttempt) {
	q := a.calls[s.Call]
	if retryAfter, refused := a.quarantineRefusal(q); refused {
		a.fleet.clock.after(0, func() {
			a.stepDispatch(dispatch.AttemptRefused{Call: s.Call, Attempt: s.Attempt, Reason: wire.ReasonQuarantined, RetryAfter: retryAfter})
		})
		return
	}
	if q.counted {
		q.route.result.Attempts++
		if a.fleet.agent(s.Member).member.Domain != a.member.Domain {
			q.route.result.Crossed++
		}
	}
	a.countMessage(a.fleet.agent(s.Member), q, q.route.Body)
	a.fleet.clock.after(a.delayTo(s.Member), func() {
		in := &inbound{from: a, attempt: s, request: q}
		a.fleet.agent(s.Member).arrive(in, booking.Arrive{
			Route: q.route.Name, Priority: q.route.Priority, Timeout: s.Timeout, Objective: s.Objective, Patience: s.MaxQueueWait, Final: s.Final,
		})
	})
}

// delayTo returns the time of a message to another agent.
func (a *agent) delayTo(member uint64) time.Duration {
	if member == a.member.ID {
		return 0
	}
	if a.fleet.agent(member).member.Domain != a.member.Domain {
		return a.fleet.Delay + a.fleet.DomainDelay
	}
	return a.fleet.Delay
}

// refuseCall ends a request, or lets its caller come back once.
func (a *agent) refuseCall(r dispatch.RefuseCall) {
	q := a.calls[r.Call]
	delete(a.calls, r.Call)
	now := a.fleet.clock.now
	if q.counted && r.Reason == wire.ReasonQuarantined {
		q.route.result.Quarantined++
	}
	if !q.route.Repeats || q.repeated || r.MayHaveRun {
		q.refused(now)
		return
	}
	q.repeated = true
	wait := min(r.RetryAfter, time.Duration(maxRetryWait*float64(q.deadline.Sub(now))))
	a.fleet.clock.after(wait, func() { a.send(q, nil) })
}

// receiveAnswer takes the answer of an attempt.
func (a *agent) receiveAnswer(s dispatch.SendAttempt, load dispatch.Load, ok bool) {
	q := a.calls[s.Call]
	if q == nil {
		return // refused or answered meanwhile
	}
	delete(a.calls, s.Call)
	if a.fleet.Baseline != "" {
		a.observeBaseline(s.Member, load)
		q.answered(a.fleet.clock.now, ok)
		return
	}
	status := 200
	if !ok {
		status = 500
	}
	a.stepDispatch(dispatch.AttemptAnswered{Call: s.Call, Attempt: s.Attempt, Status: status, Load: load})
	q.answered(a.fleet.clock.now, ok)
}
