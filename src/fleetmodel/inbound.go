package fleetmodel

import (
	"time"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/quarantine"
	"github.com/yuccaport/yuccaport/src/wire"
)

// inbound is an attempt at the agent beside its server.
type inbound struct {
	from       *agent
	attempt    dispatch.SendAttempt
	request    *request
	admittedAt time.Time
	tried      []uint64 // with a baseline: members to which the request was sent
}

// arrive passes an attempt to the booking core.
func (a *agent) arrive(in *inbound, e booking.Arrive) {
	a.fleet.lastCall++
	e.Call = a.fleet.lastCall
	a.inbound[e.Call] = in
	a.stepBooking(e)
}

// stepBooking passes an event to the booking core and carries out its actions.
func (a *agent) stepBooking(e booking.Event) {
	for _, action := range a.booking.Step(a.fleet.clock.now, e) {
		switch action := action.(type) {
		case booking.Admit:
			a.run(action.Call)
		case booking.Queue:
			a.inbound[action.Call].request.queued = true
			a.fleet.clock.after(action.Wait, func() { a.stepBooking(booking.Tick{}) })
		case booking.Refuse:
			a.refuse(action)
		}
	}
	a.scheduleTick()
}

// scheduleTick schedules the next Tick that the booking core needs.
func (a *agent) scheduleTick() {
	now := a.fleet.clock.now
	d, ok := a.booking.NextTick(now)
	at := now.Add(d)
	if !ok || a.tickAt.After(now) && !at.Before(a.tickAt) {
		return
	}
	a.tickAt = at
	a.fleet.clock.after(d, func() { a.stepBooking(booking.Tick{}) })
}

// run runs an admitted attempt: its work, then its inner calls.
func (a *agent) run(id uint64) {
	in := a.inbound[id]
	if retryAfter, refused := a.admitQuarantined(in.request); refused {
		a.stepBooking(booking.Release{Call: id, Result: booking.ResultNotSent})
		a.answerRefused(id, dispatch.AttemptRefused{Reason: wire.ReasonQuarantined, RetryAfter: retryAfter})
		return
	}
	in.admittedAt = a.fleet.clock.now
	a.admitted = append(a.admitted, in.admittedAt)
	r := in.request.route
	if in.request.counted {
		r.result.Runs++
	}
	a.spend(a.fleet.work(r, a.speed), func() {
		if a.inbound[id] != in {
			return // the server has crashed
		}
		if r.Crashes {
			a.crash()
			return
		}
		if r.Inner == "" || r.Calls == 0 {
			a.end(id, true)
			return
		}
		a.callInner(id, a.fleet.routes[r.Inner], r.Calls)
	})
}

// callInner makes the inner calls of a run, which ends when all have ended.
func (a *agent) callInner(id uint64, r *route, n int) {
	in := a.inbound[id]
	waiting, allOK := n, true
	for range n {
		now := a.fleet.clock.now
		q := &request{route: r, content: a.fleet.content(r), counted: in.request.counted, started: now, objective: now.Add(r.Objective), deadline: now.Add(min(r.Deadline, in.request.deadline.Sub(now)))}
		if q.counted {
			r.result.Asked++
		}
		a.send(q, func(ok bool) {
			allOK = allOK && ok
			if waiting--; waiting == 0 {
				a.end(id, allOK)
			}
		})
	}
}

// end releases the slot of a run and answers its caller's agent.
func (a *agent) end(id uint64, ok bool) {
	in := a.inbound[id]
	if in == nil {
		return // the server has crashed
	}
	delete(a.inbound, id)
	now := a.fleet.clock.now
	a.stepQuarantine(quarantine.Answered{Content: in.request.content, Took: now.Sub(in.admittedAt)})
	if a.limit > 0 {
		a.stepBooking(booking.CallLimit{PerSecond: a.limit})
	}
	a.reportSpeed()
	a.stepBooking(booking.Release{Call: id, Result: booking.ResultAnswered, Took: now.Sub(in.admittedAt)})
	load := a.load(in.request.route)
	a.countMessage(in.from, in.request, in.request.route.Answer)
	a.fleet.clock.after(a.delayTo(in.from.member.ID), func() { in.from.receiveAnswer(in.attempt, load, ok) })
}

// refuse refuses an attempt as not run.
func (a *agent) refuse(r booking.Refuse) {
	a.answerRefused(r.Call, dispatch.AttemptRefused{Reason: r.Reason, RetryAfter: r.RetryAfter})
}

// answerRefused ends an attempt without an answer.
func (a *agent) answerRefused(id uint64, e dispatch.AttemptRefused) {
	in := a.inbound[id]
	delete(a.inbound, id)
	e.Call, e.Attempt, e.Load = in.attempt.Call, in.attempt.Attempt, a.load(in.request.route)
	a.countMessage(in.from, in.request, 0)
	a.fleet.clock.after(a.delayTo(in.from.member.ID), func() {
		if a.fleet.Baseline != "" {
			in.from.baselineRefused(in, e)
			return
		}
		if _, ok := in.from.calls[e.Call]; ok {
			in.from.stepDispatch(e)
		}
	})
}

// load returns the load that the agent reports with an answer or a refusal.
func (a *agent) load(r *route) dispatch.Load {
	l := a.booking.LoadFor(a.fleet.clock.now, r.Name, r.Priority)
	return dispatch.Load{Free: int(l.Free), Slots: int(l.Slots), Backlog: time.Duration(l.Backlog) * time.Millisecond, ServiceTime: time.Duration(l.Service) * time.Millisecond, Speed: int(a.booking.SpeedPercent(a.fleet.clock.now))}
}
